#include "baobabrack/workload/workload_config.hpp"

#include <algorithm>

namespace baobabrack::workload {

namespace {

template <typename Config, typename Id>
const Config* find_by_id(const std::vector<Config>& entries, const Id& id) {
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const Config& entry) { return entry.id == id; });
    return found == entries.end() ? nullptr : &*found;
}

}  // namespace

const queue_config* workload_config::find_queue(std::string_view host,
                                                std::string_view path) const {
    const queue_config* best = nullptr;
    for (const auto& queue : queues) {
        const bool matches = queue.host == host && path.starts_with(queue.path_prefix);
        if (matches && (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const queue_config* workload_config::find_queue(const queue_id& id) const {
    return find_by_id(queues, id);
}

const workspace_config* workload_config::find_workspace_by_key(std::string_view key) const {
    for (const auto& workspace : workspaces) {
        if (std::find(workspace.keys.begin(), workspace.keys.end(), key) != workspace.keys.end()) {
            return &workspace;
        }
    }
    return nullptr;
}

const workspace_config* workload_config::find_workspace(const workspace_id& id) const {
    return find_by_id(workspaces, id);
}

}  // namespace baobabrack::workload
