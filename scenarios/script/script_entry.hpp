#ifndef BAOBABRACK_SCRIPT_SCRIPT_ENTRY_HPP
#define BAOBABRACK_SCRIPT_SCRIPT_ENTRY_HPP

#include <memory>
#include <string>
#include <vector>

#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/node/entry_node.hpp"
#include "fakes/fake_log.hpp"
#include "fakes/fake_network.hpp"
#include "fakes/fake_targets.hpp"
#include "fakes/fake_workers.hpp"
#include "fakes/process_runtime.hpp"

namespace baobabrack::scenario {

/// The platform and the network that every entry of a script meets.
struct script_platform {
    runtime& loop;
    fakes::fake_log& log;
    fakes::fake_network& network;
    fakes::fake_workers& workers;
    fakes::fake_targets& targets;
};

/// One entry process of a script: the same node that the daemon runs, over the fakes.
class script_entry {
public:
    /// @param peers ids of other entries that it knows from its settings
    script_entry(const script_platform& platform, const std::string& id, const std::string& region,
                 std::uint64_t version, const std::vector<std::string>& peers);
    ~script_entry();

    entry_node& node() { return *node_; }
    const entry_node& node() const { return *node_; }

    void pause() { gate_.pause(); }
    void resume() { gate_.resume(); }
    bool paused() const { return gate_.paused(); }

    /// Cuts the entry off from the log, or mends that.
    void set_log_cut(bool cut);

private:
    class gated_log;
    class gated_workers;
    class gated_targets;
    class gated_network;

    void poll_inventory();

    const script_platform platform_;
    fakes::process_runtime gate_;
    metrics_registry metrics_;
    std::unique_ptr<gated_log> log_;
    std::unique_ptr<gated_workers> workers_;
    std::unique_ptr<gated_targets> targets_;
    std::unique_ptr<gated_network> network_;
    std::unique_ptr<entry_node> node_;
    scoped_timer inventory_timer_;
};

}  // namespace baobabrack::scenario

#endif
