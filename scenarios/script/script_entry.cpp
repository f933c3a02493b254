#include "script/script_entry.hpp"

#include <utility>

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

constexpr duration inventory_interval = 2s;

std::vector<entry_node::peer> to_peers(const std::vector<std::string>& ids) {
    std::vector<entry_node::peer> peers;
    for (const auto& id : ids) {
        peers.push_back({.id = entry_id{id}, .zmq_endpoint = id});
    }
    return peers;
}

}  // namespace

class script_entry::gated_log : public log_service {
public:
    gated_log(fakes::process_runtime& gate, fakes::fake_log& log) : gate_(gate), log_(log) {}

    void append(std::string payload, append_callback done) override {
        if (cut) {
            refuse<log_offset>(std::move(done));
            return;
        }
        log_.append(std::move(payload), gate_.wrap(std::move(done)));
    }
    void read(log_offset from, std::size_t most, read_callback done) override {
        if (cut) {
            refuse<log_page>(std::move(done));
            return;
        }
        log_.read(from, most, gate_.wrap(std::move(done)));
    }

    bool cut = false;

private:
    template <typename Value>
    void refuse(std::function<void(result<Value>)> done) {
        gate_.schedule(1ms, [done = std::move(done)] {
            done(failure{failure_kind::unavailable, "the log cannot be reached", "mend the link"});
        });
    }

    fakes::process_runtime& gate_;
    fakes::fake_log& log_;
};

class script_entry::gated_workers : public worker_service {
public:
    gated_workers(fakes::process_runtime& gate, fakes::fake_workers& workers, std::string id)
        : gate_(gate), workers_(workers), id_(std::move(id)) {}

    void call(const worker_id& worker, const wire::WorkerCall& call, reply_callback done) override {
        workers_.call_from(id_, worker, call, gate_.wrap(std::move(done)));
    }

private:
    fakes::process_runtime& gate_;
    fakes::fake_workers& workers_;
    std::string id_;
};

class script_entry::gated_targets : public target_service {
public:
    gated_targets(fakes::process_runtime& gate, fakes::fake_targets& targets, std::string region)
        : gate_(gate), link_(targets, std::move(region)) {}

    void send(const target_id& target, const target_request& request,
              reply_callback done) override {
        link_.send(target, request, gate_.wrap(std::move(done)));
    }
    void abandon(const target_id& target, std::uint64_t request) override {
        link_.abandon(target, request);
    }
    void fence(const target_id& target, const workspace_id& workspace, const claim_token& claim,
               std::function<void(ran_state)> done) override {
        link_.fence(target, workspace, claim, gate_.wrap(std::move(done)));
    }

private:
    fakes::process_runtime& gate_;
    fakes::fake_target_link link_;
};

class script_entry::gated_network : public peer_network {
public:
    gated_network(fakes::process_runtime& gate, std::unique_ptr<peer_network> port)
        : gate_(gate), port_(std::move(port)) {}

    void connect(const std::string& peer, const std::string& endpoint) override {
        port_->connect(peer, endpoint);
    }
    void disconnect(const std::string& peer) override { port_->disconnect(peer); }
    void send(const std::string& peer, const wire::PeerMessage& message) override {
        port_->send(peer, message);
    }
    void on_message(handler handle) override {
        if (!handle) {
            port_->on_message({});
            return;
        }
        port_->on_message([this, handle = std::move(handle)](const std::string& sender,
                                                             const wire::PeerMessage& message) {
            gate_.wrap(std::function<void()>([=] { handle(sender, message); }))();
        });
    }

private:
    fakes::process_runtime& gate_;
    std::unique_ptr<peer_network> port_;
};

script_entry::script_entry(const script_platform& platform, const std::string& id,
                           const std::string& region, std::uint64_t version,
                           const std::vector<std::string>& peers)
    : platform_(platform),
      gate_(platform.loop),
      log_(std::make_unique<gated_log>(gate_, platform.log)),
      workers_(std::make_unique<gated_workers>(gate_, platform.workers, id)),
      targets_(std::make_unique<gated_targets>(gate_, platform.targets, region)),
      network_(std::make_unique<gated_network>(gate_, platform.network.attach(id))),
      node_(std::make_unique<entry_node>(
          entry_node::options{
              .id = entry_id{id},
              .version = incarnation{version},
              .place = {.region = region_id{region}, .data_centre = data_centre_id{region + "-1"}},
              .zmq_endpoint = id,
              .peers = to_peers(peers)},
          entry_node::dependencies{.loop = gate_,
                                   .log = *log_,
                                   .workers = *workers_,
                                   .targets = *targets_,
                                   .network = *network_,
                                   .metrics = metrics_})),
      inventory_timer_(gate_) {
    node_->start();
    poll_inventory();
}

script_entry::~script_entry() = default;

void script_entry::set_log_cut(bool cut) {
    log_->cut = cut;
}

void script_entry::poll_inventory() {
    node_->gangs().inventory_heard(platform_.workers.list());
    inventory_timer_.arm(inventory_interval, [this] { poll_inventory(); });
}

}  // namespace baobabrack::scenario
