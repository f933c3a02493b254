#include "baobabrack/daemon/entry_program.hpp"

#include <csignal>
#include <map>
#include <optional>
#include <utility>

#include "baobabrack/daemon/client_settings.hpp"
#include "baobabrack/daemon/process_identity.hpp"
#include "baobabrack/entry/entry_api.hpp"
#include "baobabrack/entry/entry_metrics.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/node/entry_node.hpp"
#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_client.hpp"
#include "baobabrack/transport/http_log_service.hpp"
#include "baobabrack/transport/http_server.hpp"
#include "baobabrack/transport/http_target_service.hpp"
#include "baobabrack/transport/http_worker_service.hpp"
#include "baobabrack/transport/zmq_network.hpp"

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

constexpr duration inventory_interval = 2s;
constexpr duration metrics_interval = 1s;
constexpr std::uint64_t snapshots_per_retention = 4;
constexpr duration drain_check_interval = 20ms;

template <typename Message>
http_endpoint to_endpoint(const Message& endpoint) {
    return {.host = endpoint.host(), .port = static_cast<std::uint16_t>(endpoint.port())};
}

entry_node::options node_options(const wire::Settings& settings, incarnation version) {
    const auto& entry = settings.entry();
    entry_node::options opts{
        .id = entry_id{settings.id()},
        .version = version,
        .place = to_location(settings.location()),
        .zmq_endpoint = entry.zmq_endpoint(),
        .heartbeat_interval = std::chrono::milliseconds{entry.heartbeat_interval_ms()}};
    for (const auto& peer : entry.peers()) {
        opts.peers.push_back({.id = entry_id{peer.id()}, .zmq_endpoint = peer.zmq_endpoint()});
    }
    opts.writer.batch_interval = std::chrono::milliseconds{entry.log().batch_interval_ms()};
    opts.snapshots.interval_entries = entry.log().retention_records() / snapshots_per_retention;
    return opts;
}

http_server::options server_options(const wire::HttpSettings& http) {
    return {.host = http.listen().host(),
            .port = static_cast<std::uint16_t>(http.listen().port()),
            .max_body_bytes = http.max_body_bytes(),
            .max_header_bytes = http.max_header_bytes(),
            .idle_timeout = std::chrono::milliseconds{http.idle_timeout_ms()},
            .max_connections = http.max_connections()};
}

/// Connects an entry to its event loop, clients and servers.
class entry_program {
public:
    explicit entry_program(const wire::Settings& settings)
        : settings_(settings),
          version_(new_incarnation()),
          loop_(new_seed()),
          limits_(create_client_limits(settings.clients(), metrics_)),
          log_client_(loop_, {}),
          worker_client_(loop_, {}),
          target_client_(loop_, {}),
          log_(log_client_,
               {.endpoint = to_endpoint(entry().log().endpoint()),
                .append_timeout = std::chrono::milliseconds{entry().log().append_timeout_ms()},
                .read_wait = std::chrono::milliseconds{entry().log().poll_interval_ms()}}),
          workers_(worker_client_, {}, [this](const worker_id& id) { return find_worker(id); }),
          inventory_(worker_client_, to_endpoint(entry().platform())),
          targets_(target_client_,
                   {.request_id_prefix = settings.id() + "-" + std::to_string(version_.get())},
                   [this](const target_id& id) { return find_target(id); }),
          network_(loop_, {.id = settings.id(), .endpoint = entry().zmq_endpoint()}),
          node_(node_options(settings, version_), {.loop = loop_,
                                                   .log = log_,
                                                   .workers = workers_,
                                                   .targets = targets_,
                                                   .network = network_,
                                                   .metrics = metrics_}),
          api_(node_, loop_, metrics_, entry().administration()),
          server_(loop_,
                  with_client_settings(server_options(entry().http()), settings.clients(), limits_),
                  api_) {}

    int run() {
        loop_.on_signal(SIGTERM, [this] { begin_drain(); });
        loop_.on_signal(SIGINT, [this] { begin_drain(); });
        node_.start();
        poll_inventory();
        refresh_metrics();
        log_event(log_level::info, "started")
            .field("http_port", static_cast<unsigned>(server_.port()))
            .field("zmq", network_.endpoint())
            .field("incarnation", version_.get());
        loop_.run();
        log_event(log_level::info, "stopped").field("exit", exit_code_);
        return exit_code_;
    }

private:
    const wire::EntrySettings& entry() const { return settings_.entry(); }

    /// The platform's list takes precedence over the log: a worker must reply at the endpoint that
    /// is listed before it joins.
    std::optional<http_endpoint> find_worker(const worker_id& id) const {
        const auto listed = inventory_endpoints_.find(id);
        if (listed != inventory_endpoints_.end()) {
            return listed->second;
        }
        const auto* facts = node_.jobs().find_facts(id);
        if (facts == nullptr) {
            return std::nullopt;
        }
        return to_endpoint(*facts);
    }

    std::optional<http_endpoint> find_target(const target_id& id) const {
        const auto* target = node_.targets().find(id);
        if (target == nullptr) {
            return std::nullopt;
        }
        return to_endpoint(target->facts);
    }

    /// Every entry reads the complete list and handles the workers that it is responsible for.
    void poll_inventory() {
        inventory_.list([this](const result<wire::WorkerList>& list) {
            if (list) {
                handle_inventory(list.value());
            }
        });
        loop_.schedule(inventory_interval, [this] { poll_inventory(); });
    }

    void handle_inventory(const wire::WorkerList& list) {
        inventory_endpoints_.clear();
        for (const auto& facts : list.workers()) {
            inventory_endpoints_[worker_id{facts.worker()}] = to_endpoint(facts);
        }
        node_.gangs().inventory_heard(list);
    }

    void refresh_metrics() {
        update_entry_metrics(node_, metrics_);
        loop_.schedule(metrics_interval, [this] { refresh_metrics(); });
    }

    void begin_drain() {
        if (std::exchange(stopping_, true)) {
            return;
        }
        log_event(log_level::info, "drain-announced").field("notice_ms", entry().drain_notice_ms());
        node_.announce_draining();
        loop_.schedule(std::chrono::milliseconds{entry().drain_notice_ms()}, [this] { drain(); });
        loop_.schedule(std::chrono::milliseconds{entry().drain_timeout_ms()}, [this] {
            log_event(log_level::error, "drain-timed-out")
                .field("open", static_cast<std::uint64_t>(server_.open_requests()));
            exit_code_ = 1;
            loop_.stop();
        });
    }

    void drain() {
        log_event(log_level::info, "drain-began")
            .field("in_flight", static_cast<std::uint64_t>(node_.requests().in_flight()));
        server_.stop_accepting();
        node_.drain([this] { finish_drain(); });
    }

    void finish_drain() {
        if (server_.is_idle()) {
            loop_.stop();
            return;
        }
        loop_.schedule(drain_check_interval, [this] { finish_drain(); });
    }

    wire::Settings settings_;
    incarnation version_;
    event_runtime loop_;
    metrics_registry metrics_;
    std::shared_ptr<client_limits> limits_;
    http_client log_client_;
    http_client worker_client_;
    http_client target_client_;
    http_log_service log_;
    http_worker_service workers_;
    http_worker_inventory inventory_;
    http_target_service targets_;
    zmq_network network_;
    entry_node node_;
    entry_api api_;
    http_server server_;
    // Endpoints of the workers in the platform's list.
    std::map<worker_id, http_endpoint> inventory_endpoints_;
    int exit_code_ = 0;
    bool stopping_ = false;
};

}  // namespace

int run_entry(const wire::Settings& settings) {
    entry_program program(settings);
    return program.run();
}

}  // namespace baobabrack
