#include "baobabrack/workload/job_memory.hpp"

#include <algorithm>

namespace baobabrack::workload {

namespace {

// Sizes of the objects of a leader, which holds a job in its table and in its decisions.
constexpr std::size_t job_bytes = 2048;
constexpr std::size_t step_bytes = 512;
constexpr std::size_t task_bytes = 400;
constexpr std::size_t copies = 2;

constexpr std::size_t owner_fraction = 2;
constexpr std::size_t unfinished_fraction = 8;

// The prefixes keep workspaces and queues of the same name apart.
std::string owner_of(const job_spec& spec) {
    if (spec.workspace.get().empty()) {
        return "queue/" + spec.queue.get();
    }
    return spec.owner == workspace_identity{} ? "workspace/" + spec.workspace.get()
                                              : "identity/" + std::to_string(spec.owner.get());
}

}  // namespace

std::size_t estimate_memory(const job_spec& spec) {
    std::size_t bytes = job_bytes + copies * spec.payload.size();
    for (const auto& step : spec.steps) {
        bytes += step_bytes + task_bytes * step.tasks + sizeof(std::uint32_t) * step.after.size();
    }
    return bytes;
}

void job_memory::add(const job_spec& spec) {
    const auto bytes = estimate_memory(spec);
    total_ += bytes;
    by_owner_[owner_of(spec)] += bytes;
}

void job_memory::remove(const job_spec& spec) {
    const auto found = by_owner_.find(owner_of(spec));
    if (found == by_owner_.end()) {
        return;
    }
    const auto bytes = std::min(estimate_memory(spec), found->second);
    total_ -= bytes;
    found->second -= bytes;
    if (found->second == 0) {
        by_owner_.erase(found);
    }
}

std::size_t job_memory::of_owner(const job_spec& spec) const {
    const auto found = by_owner_.find(owner_of(spec));
    return found == by_owner_.end() ? 0 : found->second;
}

bool job_memory_limits::admits(const job_spec& spec, const job_memory& stored,
                               const job_memory& unfinished) const {
    const auto bytes = estimate_memory(spec);
    const auto owned = stored.of_owner(spec) + unfinished.of_owner(spec);
    return stored.total() + unfinished.total() + bytes <= max_bytes &&
           owned + bytes <= max_bytes / owner_fraction &&
           unfinished.total() + bytes <= max_bytes / unfinished_fraction;
}

}  // namespace baobabrack::workload
