#include "baobabrack/daemon/worker_guard_program.hpp"

#include <csignal>

#include "baobabrack/daemon/addresses.hpp"
#include "baobabrack/daemon/client_settings.hpp"
#include "baobabrack/daemon/metrics_handler.hpp"
#include "baobabrack/daemon/process_identity.hpp"
#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/settings/settings.hpp"
#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_client.hpp"
#include "baobabrack/transport/zmq_network.hpp"
#include "baobabrack/workload/message_limits.hpp"
#include "baobabrack/workload/worker_guard.hpp"
#include "platform/announcements_api.hpp"
#include "platform/worker_client.hpp"

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

// The seeds in the settings file may change without a signal.
constexpr duration seed_poll_interval = 2s;
// Connections to and from schedulers.
constexpr std::size_t max_schedulers = 64;
// Each may hold an incomplete message of the greatest size.
constexpr std::size_t max_unproved_connections = 16;
// Messages for or from one scheduler.
constexpr int peer_queue_limit = 64;

http_server::options server_at(const std::string& address) {
    const auto endpoint = to_endpoint(address);
    return {.host = endpoint.host, .port = endpoint.port, .max_connections = 64};
}

std::vector<std::string> seed_endpoints(const wire::WorkerGuardSettings& settings) {
    return to_zmq_endpoints(settings.seeds(), std::to_string(settings.scheduler_zmq_port()));
}

class worker_guard_program {
public:
    worker_guard_program(const wire::Settings& settings, std::string file)
        : settings_(settings.worker_guard()),
          file_(std::move(file)),
          loop_(new_seed()),
          limits_(create_client_limits(settings.clients(), metrics_)),
          client_(loop_, {.max_connections_per_host = 32,
                          .connect_timeout = 500ms,
                          .acknowledge_timeout = 1500ms}),
          worker_(client_, to_endpoint(settings_.worker())),
          network_(loop_, {.id = settings.id(),
                           .endpoint = settings_.zmq_endpoint(),
                           .queue_limit = peer_queue_limit,
                           .max_message_bytes = workload::max_orders_bytes,
                           .max_peers = max_schedulers,
                           .connections = {.max_connections = max_schedulers,
                                           .max_unproved = max_unproved_connections},
                           .limits = limits_}),
          guard_({.host = workload::host_id{settings.id()},
                  .version = new_incarnation(),
                  .zmq_endpoint = settings_.zmq_endpoint(),
                  .seeds = seed_endpoints(settings_),
                  .max_lease = std::chrono::milliseconds{static_cast<std::int64_t>(
                      settings_.bounds().most_lease_ms())},
                  .max_announcement_age = std::chrono::milliseconds{static_cast<std::int64_t>(
                      settings_.bounds().contact_timeout_ms())},
                  .data_centre = data_centre_id{settings.location().data_centre()},
                  .evacuation_bound = std::chrono::milliseconds{static_cast<std::int64_t>(
                      settings_.bounds().evacuation_ms())}},
                 loop_, network_, worker_, metrics_),
          announcements_(guard_, workload::host_id{settings.id()}, loop_, metrics_),
          metrics_handler_(metrics_, *limits_),
          announcements_server_(loop_,
                                with_client_settings(server_at(settings_.announcements()),
                                                     settings.clients(), limits_),
                                announcements_),
          metrics_server_(
              loop_,
              with_client_settings(server_at(settings_.metrics()), settings.clients(), limits_),
              metrics_handler_) {}

    int run() {
        // The worker keeps running; the next guard finds its runs in the worker's lists.
        loop_.on_signal(SIGTERM, [this] { loop_.stop(); });
        loop_.on_signal(SIGINT, [this] { loop_.stop(); });
        loop_.on_signal(SIGHUP, [this] { read_seeds(); });
        guard_.start();
        poll_seeds();
        log_event(log_level::info, "started")
            .field("worker", settings_.worker())
            .field("zmq", settings_.zmq_endpoint());
        loop_.run();
        log_event(log_level::info, "stopped").field("exit", 0);
        return 0;
    }

private:
    void poll_seeds() {
        read_seeds();
        loop_.schedule(seed_poll_interval, [this] { poll_seeds(); });
    }

    void read_seeds() {
        const auto parsed = read_settings_file(file_);
        if (parsed.problems.empty() && parsed.settings.has_worker_guard()) {
            guard_.set_seeds(seed_endpoints(parsed.settings.worker_guard()));
            return;
        }
        log_event(log_level::warning, "settings-refused")
            .field("file", file_)
            .field("reason", describe(parsed.problems));
    }

    wire::WorkerGuardSettings settings_;
    std::string file_;
    event_runtime loop_;
    metrics_registry metrics_;
    std::shared_ptr<client_limits> limits_;
    http_client client_;
    platform::worker_client worker_;
    zmq_network network_;
    workload::worker_guard guard_;
    platform::announcements_api announcements_;
    metrics_handler metrics_handler_;
    http_server announcements_server_;
    http_server metrics_server_;
};

}  // namespace

int run_worker_guard(const wire::Settings& settings, const std::string& file) {
    worker_guard_program program(settings, file);
    return program.run();
}

}  // namespace baobabrack
