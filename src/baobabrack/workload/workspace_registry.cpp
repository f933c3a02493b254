#include "baobabrack/workload/workspace_registry.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "baobabrack/workload.pb.h"

namespace baobabrack::workload {

namespace {

// Workspaces that have been removed, and former names of one, beyond which the oldest are
// forgotten, so that the record fits into the store.
constexpr std::size_t max_removed_workspaces = 100;
constexpr std::size_t max_names = 8;

std::uint64_t digest_of(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

std::set<std::uint64_t> digests_of(const std::vector<std::string>& keys) {
    std::set<std::uint64_t> digests;
    for (const auto& key : keys) {
        digests.insert(digest_of(key));
    }
    return digests;
}

/// A workspace of the new version that has keys of a known one.
struct shared_keys {
    std::size_t config_index = 0;
    std::size_t known_index = 0;
    std::size_t count = 0;
    bool present = false;
    bool same_name = false;

    /// The best match is the lowest.
    auto rank() const {
        return std::tuple(!present, !same_name, ~count, config_index, known_index);
    }
};

std::vector<shared_keys> find_shared_keys(const workload_config& config,
                                          const std::vector<known_workspace>& known) {
    std::vector<shared_keys> found;
    for (std::size_t config_index = 0; config_index < config.workspaces.size(); ++config_index) {
        const auto& workspace = config.workspaces[config_index];
        const auto digests = digests_of(workspace.keys);
        for (std::size_t known_index = 0; known_index < known.size(); ++known_index) {
            const auto& candidate = known[known_index];
            const auto count = static_cast<std::size_t>(std::count_if(
                digests.begin(), digests.end(),
                [&](std::uint64_t digest) { return candidate.key_digests.contains(digest); }));
            if (count > 0) {
                found.push_back({.config_index = config_index,
                                 .known_index = known_index,
                                 .count = count,
                                 .present = candidate.present(),
                                 .same_name = candidate.names.back().name == workspace.id});
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const shared_keys& left, const shared_keys& right) {
        return left.rank() < right.rank();
    });
    return found;
}

/// @return for each workspace of the new version, the index of the known one that it continues
std::map<std::size_t, std::size_t> match(const workload_config& config,
                                         const std::vector<known_workspace>& known) {
    std::map<std::size_t, std::size_t> matches;
    std::set<std::size_t> taken;
    for (const auto& shared : find_shared_keys(config, known)) {
        if (!matches.contains(shared.config_index) && taken.insert(shared.known_index).second) {
            matches[shared.config_index] = shared.known_index;
        }
    }
    for (std::size_t config_index = 0; config_index < config.workspaces.size(); ++config_index) {
        for (std::size_t index = 0; index < known.size(); ++index) {
            const bool same_name = known[index].present() && known[index].names.back().name ==
                                                                 config.workspaces[config_index].id;
            if (same_name && !matches.contains(config_index) && taken.insert(index).second) {
                matches[config_index] = index;
            }
        }
    }
    return matches;
}

}  // namespace

std::vector<workspace_registry::change> workspace_registry::update(const workload_config& config) {
    std::vector<change> changes;
    if (config.version <= version_ && !workspaces_.empty()) {
        return changes;
    }
    const auto matches = match(config, workspaces_);
    std::set<std::size_t> continued;
    for (const auto& [config_index, known_index] : matches) {
        continued.insert(known_index);
    }
    for (std::size_t index = 0; index < workspaces_.size(); ++index) {
        auto& known = workspaces_[index];
        if (known.present() && !continued.contains(index)) {
            changes.push_back(
                {.identity = known.identity, .former_name = known.names.back().name, .name = {}});
            known.names.back().until = config.version;
        }
    }
    for (std::size_t index = 0; index < config.workspaces.size(); ++index) {
        const auto& workspace = config.workspaces[index];
        const auto matched = matches.find(index);
        auto& known = matched == matches.end() ? add(workspace) : workspaces_[matched->second];
        const auto former_name = current_name(known);
        if (former_name != workspace.id) {
            if (known.present()) {
                known.names.back().until = config.version;
            }
            known.names.push_back(
                {.name = workspace.id, .since = config.version, .until = std::nullopt});
            changes.push_back(
                {.identity = known.identity, .former_name = former_name, .name = workspace.id});
        }
        auto digests = digests_of(workspace.keys);
        if (known.key_digests != digests) {
            known.key_digests = std::move(digests);
            ++revision_;
        }
    }
    version_ = config.version;
    revision_ += changes.empty() ? 0 : 1;
    forget_oldest();
    return changes;
}

// The identity depends on the workspace alone, so that schedulers agree on it although each has
// seen other versions.
known_workspace& workspace_registry::add(const workspace_config& workspace) {
    std::string content = workspace.id.get();
    for (const auto digest : digests_of(workspace.keys)) {
        content += '/' + std::to_string(digest);
    }
    workspace_identity identity{digest_of(content)};
    while (identity.get() == 0 || find(identity) != nullptr) {
        content += '+';
        identity = workspace_identity{digest_of(content)};
    }
    return workspaces_.emplace_back(
        known_workspace{.identity = identity, .names = {}, .key_digests = {}});
}

void workspace_registry::forget_oldest() {
    for (auto& known : workspaces_) {
        if (known.names.size() > max_names) {
            known.names.erase(known.names.begin());
        }
    }
    const auto removed = static_cast<std::size_t>(
        std::count_if(workspaces_.begin(), workspaces_.end(),
                      [](const known_workspace& known) { return !known.present(); }));
    for (auto excess = removed; excess > max_removed_workspaces; --excess) {
        workspaces_.erase(std::min_element(
            workspaces_.begin(), workspaces_.end(),
            [](const known_workspace& left, const known_workspace& right) {
                const auto age = [](const known_workspace& known) {
                    return std::pair(known.present(),
                                     known.names.back().until.value_or(config_version{}));
                };
                return age(left) < age(right);
            }));
    }
}

const known_workspace* workspace_registry::find(const workspace_id& name,
                                                config_version version) const {
    const known_workspace* holder = nullptr;
    const known_workspace::name_period* best = nullptr;
    // A period that covers the version is the best, then the latest before it, then the first.
    const auto rank = [version](const known_workspace::name_period& period) {
        const bool began = period.since <= version;
        const bool covers = began && (!period.until || version < *period.until);
        const auto distance =
            began ? version.get() - period.since.get() : period.since.get() - version.get();
        return std::tuple(!covers, !began, distance);
    };
    for (const auto& known : workspaces_) {
        for (const auto& period : known.names) {
            if (period.name == name && (best == nullptr || rank(period) < rank(*best))) {
                best = &period;
                holder = &known;
            }
        }
    }
    return holder;
}

const known_workspace* workspace_registry::find(workspace_identity identity) const {
    const auto found =
        std::find_if(workspaces_.begin(), workspaces_.end(),
                     [&](const known_workspace& known) { return known.identity == identity; });
    return found == workspaces_.end() ? nullptr : &*found;
}

workspace_id workspace_registry::current_name(const known_workspace& workspace) {
    return workspace.present() ? workspace.names.back().name : workspace_id{};
}

bool workspace_registry::load(std::string_view record) {
    wire::WorkloadWorkspaces stored;
    if (!stored.ParseFromArray(record.data(), static_cast<int>(record.size()))) {
        return false;
    }
    version_ = config_version{stored.config_version()};
    workspaces_.clear();
    for (const auto& entry : stored.workspaces()) {
        if (entry.names().empty()) {
            continue;
        }
        known_workspace known{
            .identity = workspace_identity{entry.identity()},
            .names = {},
            .key_digests = {entry.key_digests().begin(), entry.key_digests().end()}};
        for (const auto& period : entry.names()) {
            known.names.push_back(
                {.name = workspace_id{period.name()},
                 .since = config_version{period.since_version()},
                 .until = period.has_until_version()
                              ? std::optional{config_version{period.until_version()}}
                              : std::nullopt});
        }
        workspaces_.push_back(std::move(known));
    }
    ++revision_;
    return true;
}

std::string workspace_registry::save() const {
    wire::WorkloadWorkspaces record;
    record.set_config_version(version_.get());
    for (const auto& known : workspaces_) {
        auto& entry = *record.add_workspaces();
        entry.set_identity(known.identity.get());
        for (const auto digest : known.key_digests) {
            entry.add_key_digests(digest);
        }
        for (const auto& period : known.names) {
            auto& stored = *entry.add_names();
            stored.set_name(period.name.get());
            stored.set_since_version(period.since.get());
            if (period.until) {
                stored.set_until_version(period.until->get());
            }
        }
    }
    return record.SerializeAsString();
}

}  // namespace baobabrack::workload
