#ifndef BAOBABRACK_WORKLOAD_DIRECTORY_HPP
#define BAOBABRACK_WORKLOAD_DIRECTORY_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/units/resources.hpp"
#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

using config_version = strong_type<struct config_version_tag, std::uint64_t>;

/// Where callers hand jobs in, and what they may expect.
struct queue_rules {
    queue_id id;
    /// Value of the Host header.
    std::string host;
    /// The longest prefix of a path chooses the queue.
    std::string path_prefix;
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t most_attempts = 1;
    double slack_factor = 1;
    duration target_completion{};
    /// Whether callers need no key.
    bool is_public = false;
};

struct service_rules {
    service_id id;
    /// Workers refuse what does not fit. Otherwise the scheduler alone keeps to their capacity.
    bool workers_check_room = false;
};

struct workspace_rules {
    workspace_id id;
    std::vector<std::string> keys;
    /// Accelerators that belong to the workspace's jobs of priority 0 at all times.
    accelerator_count guaranteed;
};

/// The operator's configuration, one whole version.
struct directory {
    config_version version;
    std::vector<queue_rules> queues;
    std::vector<service_rules> services;
    std::vector<workspace_rules> workspaces;

    /// @return the queue with the longest prefix of the path at the host, or null
    const queue_rules* find_queue(std::string_view host, std::string_view path) const;

    /// @return the queue, or null
    const queue_rules* find_queue(const queue_id& id) const;

    /// @return the workspace that a key belongs to, or null
    const workspace_rules* find_key(std::string_view key) const;

    /// @return the workspace, or null
    const workspace_rules* find_workspace(const workspace_id& id) const;
};

}  // namespace baobabrack::workload

#endif
