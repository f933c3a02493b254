#include "baobabrack/daemon/scheduler_program.hpp"

#include <csignal>
#include <utility>

#include "baobabrack/daemon/addresses.hpp"
#include "baobabrack/daemon/client_settings.hpp"
#include "baobabrack/daemon/metrics_handler.hpp"
#include "baobabrack/daemon/process_identity.hpp"
#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/zmq_network.hpp"
#include "baobabrack/workload/job_frontend.hpp"
#include "baobabrack/workload/message_limits.hpp"
#include "platform/config_follower.hpp"
#include "platform/job_api.hpp"
#include "platform/store_client.hpp"

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

constexpr duration drain_check_interval = 20ms;
// The load balancer probes readiness once a second and redirects callers after two failed probes.
constexpr duration drain_notice = 2500ms;
// Fraction of the grace period after which calls that are still open are abandoned.
constexpr double drain_timeout_fraction = 0.8;
// Fraction of the time limit for the revocation of a key, after which calls with keys are refused.
constexpr double revocation_fraction = 0.6;
// Time from a decision until a worker has it, and from the end of a run until its report arrives.
constexpr duration order_delay = 100ms;
// Fraction of the maximum lease that a worker is granted; shorter leases release lost runs sooner.
constexpr double lease_fraction = 0.6;
constexpr std::uint32_t default_connection_limit = 2048;
// Connections of guards and other schedulers.
constexpr std::size_t max_peer_connections = 1000;
// Messages for or from one peer; each peer sends a few a second.
constexpr int peer_queue_limit = 64;

duration from_ms(double milliseconds) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

http_server::options server_at(const std::string& address, std::uint32_t connection_limit) {
    const auto endpoint = to_endpoint(address);
    return {.host = endpoint.host,
            .port = endpoint.port,
            .max_body_bytes = 1UL << 20U,
            .max_connections = connection_limit};
}

std::vector<std::string> seed_endpoints(const wire::SchedulerSettings& settings) {
    const auto& own = settings.zmq_endpoint();
    return to_zmq_endpoints(settings.seeds(), own.substr(own.rfind(':') + 1));
}

workload::scheduler::options decision_options(const wire::WorkloadBounds& bounds) {
    return {.lease = from_ms(bounds.most_lease_ms() * lease_fraction),
            .lease_slack = from_ms(bounds.thaw_slack_ms() + bounds.stop_timeout_ms()),
            .reclaim_timeout = from_ms(bounds.reclaim_timeout_ms()),
            .max_stop_delay = from_ms(bounds.stop_timeout_ms()) + order_delay,
            .remote_penalty = bounds.remote_penalty()};
}

workload::scheduler_node::options node_options(const wire::Settings& settings) {
    const auto& bounds = settings.scheduler().bounds();
    return {.id = settings.id(),
            .version = new_incarnation(),
            .zmq_endpoint = settings.scheduler().zmq_endpoint(),
            .scheduling = decision_options(bounds),
            .max_config_age = from_ms(bounds.config_apply_ms()),
            .evacuation_bound = from_ms(bounds.evacuation_ms()),
            .max_read_age = from_ms(bounds.visible_ms() * revocation_fraction),
            .status_retention = from_ms(bounds.status_retention_s() * 1000),
            .seeds = seed_endpoints(settings.scheduler())};
}

store_limits limits_of(const wire::SchedulerSettings& settings) {
    store_limits limits;
    if (settings.store_record_bytes() > 0) {
        limits.record_bytes = settings.store_record_bytes();
    }
    if (settings.store_request_bytes() > 0) {
        limits.request_bytes = settings.store_request_bytes();
    }
    return limits;
}

workload::job_memory_limits memory_limits(const wire::SchedulerSettings& settings) {
    workload::job_memory_limits limits;
    if (settings.max_job_bytes() > 0) {
        limits.max_bytes = settings.max_job_bytes();
    }
    return limits;
}

std::int64_t max_message_bytes(const wire::SchedulerSettings& settings) {
    return static_cast<std::int64_t>(
        workload::max_scheduler_message_bytes(limits_of(settings).record_bytes));
}

/// Replies 503 to every call: workers announce themselves to the guard on their host.
class unavailable_handler : public http_handler {
public:
    void handle(http_request /*request*/, http_responder responder) override {
        responder.respond({.status = 503});
    }
};

/// Connects a scheduler to its event loop, clients and servers.
class scheduler_program {
public:
    explicit scheduler_program(const wire::Settings& settings)
        : settings_(settings.scheduler()),
          client_settings_(settings.clients()),
          loop_(new_seed()),
          limits_(create_client_limits(client_settings_, metrics_)),
          client_(loop_, {.connect_timeout = 700ms, .acknowledge_timeout = 1500ms}),
          store_(client_, to_endpoint(settings_.store()), limits_of(settings_), metrics_),
          config_(loop_, store_),
          network_(loop_, {.id = settings.id(),
                           .endpoint = settings_.zmq_endpoint(),
                           .queue_limit = peer_queue_limit,
                           .max_message_bytes = max_message_bytes(settings_),
                           .connections = {.max_connections = max_peer_connections},
                           .limits = limits_}),
          node_(node_options(settings), {.loop = loop_,
                                         .log = store_,
                                         .network = network_,
                                         .config = config_,
                                         .metrics = metrics_}),
          frontend_({.max_key_age = key_limit(), .memory = memory_limits(settings_)}, loop_, node_,
                    config_, metrics_),
          callers_(frontend_),
          readiness_([this] { return ready(); }),
          metrics_handler_(metrics_, *limits_),
          callers_server_(loop_, options_of(settings_.listen(), connection_limit()), callers_),
          readiness_server_(loop_, readiness_options(), readiness_),
          announcements_server_(loop_, options_of(settings_.announcements(), 64), unavailable_),
          metrics_server_(loop_, options_of(settings_.metrics(), 16), metrics_handler_) {}

    int run() {
        loop_.on_signal(SIGTERM, [this] { begin_drain(); });
        loop_.on_signal(SIGINT, [this] { begin_drain(); });
        loop_.on_signal(SIGHUP, [] { log_event(log_level::info, "reload-not-needed"); });
        config_.start([this] { node_.apply_config(); });
        node_.start();
        log_event(log_level::info, "started")
            .field("listen", settings_.listen())
            .field("store", settings_.store())
            .field("zmq", settings_.zmq_endpoint());
        loop_.run();
        log_event(log_level::info, "stopped").field("exit", exit_code_);
        return exit_code_;
    }

private:
    http_server::options options_of(const std::string& address, std::uint32_t connections) const {
        return with_client_settings(server_at(address, connections), client_settings_, limits_);
    }

    http_server::options readiness_options() const {
        auto options = options_of(settings_.readiness(), 64);
        options.counts_requests = false;
        return options;
    }

    std::uint32_t connection_limit() const {
        return settings_.most_connections() > 0 ? settings_.most_connections()
                                                : default_connection_limit;
    }

    duration key_limit() const {
        return from_ms(settings_.bounds().revocation_ms() * revocation_fraction);
    }

    bool ready() {
        const bool is_ready = !stopping_ && frontend_.ready();
        if (std::exchange(last_ready_, is_ready) != is_ready) {
            log_event(log_level::info, "readiness-changed").field("ready", is_ready);
        }
        return is_ready;
    }

    void begin_drain() {
        if (std::exchange(stopping_, true)) {
            return;
        }
        const auto grace = from_ms(settings_.bounds().grace_period_s() * 1000);
        log_event(log_level::info, "drain-began")
            .field("open", static_cast<std::uint64_t>(callers_server_.open_requests()));
        node_.resign();
        const auto notice = std::min(drain_notice, grace / 2);
        loop_.schedule(notice, [this] {
            callers_server_.stop_accepting();
            finish_drain();
        });
        loop_.schedule(
            std::chrono::duration_cast<duration>(grace * drain_timeout_fraction), [this] {
                log_event(log_level::error, "drain-timed-out")
                    .field("open", static_cast<std::uint64_t>(callers_server_.open_requests()));
                exit_code_ = 1;
                loop_.stop();
            });
    }

    void finish_drain() {
        callers_server_.close_idle();
        if (callers_server_.is_idle()) {
            loop_.stop();
            return;
        }
        loop_.schedule(drain_check_interval, [this] { finish_drain(); });
    }

    wire::SchedulerSettings settings_;
    wire::ClientSettings client_settings_;
    event_runtime loop_;
    metrics_registry metrics_;
    std::shared_ptr<client_limits> limits_;
    http_client client_;
    platform::store_client store_;
    platform::config_follower config_;
    zmq_network network_;
    workload::scheduler_node node_;
    workload::job_frontend frontend_;
    platform::job_api callers_;
    platform::readiness_api readiness_;
    unavailable_handler unavailable_;
    metrics_handler metrics_handler_;
    http_server callers_server_;
    http_server readiness_server_;
    http_server announcements_server_;
    http_server metrics_server_;
    bool stopping_ = false;
    bool last_ready_ = false;
    int exit_code_ = 0;
};

}  // namespace

int run_scheduler(const wire::Settings& settings) {
    scheduler_program program(settings);
    return program.run();
}

}  // namespace baobabrack
