#ifndef BAOBABRACK_WORKLOAD_WORKLOAD_CONFIG_HPP
#define BAOBABRACK_WORKLOAD_WORKLOAD_CONFIG_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/units/resources.hpp"
#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// Routing and scheduling settings of a queue.
struct queue_config {
    queue_id id;
    /// Value of the Host header.
    std::string host;
    /// Of the queues whose prefix matches a path, the one with the longest prefix is chosen.
    std::string path_prefix;
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    double slack_factor = 1;
    duration target_completion{};
    /// Whether callers need no API key.
    bool is_public = false;
};

struct service_config {
    service_id id;
    /// Whether workers refuse runs that exceed their capacity. If not, only the scheduler enforces
    /// it.
    bool workers_check_capacity = false;
};

struct workspace_config {
    workspace_id id;
    std::vector<std::string> keys;
    /// Accelerators that are guaranteed to the workspace's jobs of priority 0 at all times.
    accelerator_count guaranteed;
};

/// One complete version of the operator's configuration.
struct workload_config {
    config_version version;
    std::vector<queue_config> queues;
    std::vector<service_config> services;
    std::vector<workspace_config> workspaces;

    /// @return the queue with the longest prefix of the path at the host, or null
    const queue_config* find_queue(std::string_view host, std::string_view path) const;

    /// @return the queue, or null
    const queue_config* find_queue(const queue_id& id) const;

    /// @return the workspace that owns an API key, or null
    const workspace_config* find_workspace_by_key(std::string_view key) const;

    /// @return the workspace, or null
    const workspace_config* find_workspace(const workspace_id& id) const;
};

}  // namespace baobabrack::workload

#endif
