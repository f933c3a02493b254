#include <set>

#include "baobabrack/settings/settings.hpp"
#include "baobabrack/transport/http_types.hpp"

namespace baobabrack {

namespace {

using problems = std::vector<document_problem>;

constexpr std::uint32_t max_port = 65'535;
constexpr std::size_t min_token_length = 16;
// The information about evacuations may be as old as the bound less 1500 ms, and is usually up to
// 1500 ms old.
constexpr double min_evacuation_ms = 3000;
constexpr double max_evacuation_ms = 3'600'000;

bool is_loopback(const std::string& host) {
    return host.starts_with("127.") || host == "::1";
}

void check_text(problems& found, const std::string& path, const std::string& value,
                const std::string& what) {
    if (value.empty()) {
        found.push_back({path, "is missing; expected " + what, "add the key"});
    }
}

void check_endpoint(problems& found, const std::string& path, const wire::Endpoint& endpoint) {
    if (!is_ip_address(endpoint.host())) {
        found.push_back({path + ".host", "expected an IP address, got \"" + endpoint.host() + "\"",
                         "use a numeric address, such as 127.0.0.1"});
    }
    if (endpoint.port() == 0 || endpoint.port() > max_port) {
        found.push_back(
            {path + ".port", "expected a TCP port from 1 to 65535", "set the listening port"});
    }
}

void check_zmq(problems& found, const std::string& path, const std::string& endpoint) {
    if (!endpoint.starts_with("tcp://") || endpoint.rfind(':') <= endpoint.find("//")) {
        found.push_back({path, "expected tcp://IP:PORT, got \"" + endpoint + "\"",
                         "set transport, address and port, such as tcp://127.0.0.1:7400"});
    }
}

template <typename Peers>
void check_peers(problems& found, const std::string& path, const Peers& peers,
                 const std::string& self) {
    std::set<std::string> ids{self};
    int index = 0;
    for (const auto& peer : peers) {
        const auto item_path = path + "[" + std::to_string(index++) + "]";
        check_text(found, item_path + ".id", peer.id(), "the id of the other process");
        check_zmq(found, item_path + ".zmq_endpoint", peer.zmq_endpoint());
        if (!peer.id().empty() && !ids.insert(peer.id()).second) {
            found.push_back({item_path + ".id",
                             "\"" + peer.id() + "\" is a duplicate or the id of this process",
                             "use a unique id for every process"});
        }
    }
}

void check_administration(problems& found, const wire::EntrySettings& entry) {
    const auto& keys = entry.administration().keys();
    if (keys.empty() && !is_loopback(entry.http().listen().host())) {
        found.push_back({"entry.administration.keys",
                         "is empty, which is allowed only when listening on loopback",
                         "add at least one operator with a token"});
    }
    int index = 0;
    for (const auto& key : keys) {
        const auto item_path = "entry.administration.keys[" + std::to_string(index++) + "]";
        check_text(found, item_path + ".operator", key.operator_(), "the operator's name");
        if (key.token().size() < min_token_length) {
            found.push_back({item_path + ".token", "expected at least 16 characters",
                             "use a random token, such as 32 hexadecimal digits"});
        }
    }
}

void check_entry(problems& found, const wire::Settings& settings) {
    const auto& entry = settings.entry();
    check_endpoint(found, "entry.http.listen", entry.http().listen());
    check_zmq(found, "entry.zmq_endpoint", entry.zmq_endpoint());
    check_peers(found, "entry.peers", entry.peers(), settings.id());
    check_endpoint(found, "entry.log.endpoint", entry.log().endpoint());
    check_endpoint(found, "entry.platform", entry.platform());
    check_administration(found, entry);
}

void check_guard(problems& found, const wire::Settings& settings) {
    const auto& guard = settings.guard();
    check_zmq(found, "guard.zmq_endpoint", guard.zmq_endpoint());
    check_text(found, "guard.target", guard.target(), "the id of the target of this guard");
    check_endpoint(found, "guard.target_endpoint", guard.target_endpoint());
    check_peers(found, "guard.entries", guard.entries(), settings.id());
    if (guard.slots() > guard.connections()) {
        found.push_back({"guard.slots", "is more than guard.connections",
                         "each running request uses a connection: allow at least as many"});
    }
}

void check_address(problems& found, const std::string& path, const std::string& address) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint || !is_ip_address(endpoint.value().host) || endpoint.value().port == 0) {
        found.push_back({path, "expected IP:PORT, got \"" + address + "\"",
                         "use a numeric address, such as 127.0.0.1:7300"});
    }
}

void check_positive(problems& found, const std::string& path, double value) {
    if (!(value > 0)) {
        found.push_back({path, "expected a number greater than 0", "set the agreed bound"});
    }
}

void check_bounds(problems& found, const std::string& path, const wire::WorkloadBounds& bounds) {
    check_positive(found, path + ".revocation_ms", bounds.revocation_ms());
    check_positive(found, path + ".config_apply_ms", bounds.config_apply_ms());
    check_positive(found, path + ".grace_period_s", bounds.grace_period_s());
    check_positive(found, path + ".most_lease_ms", bounds.most_lease_ms());
    check_positive(found, path + ".visible_ms", bounds.visible_ms());
    check_positive(found, path + ".status_retention_s", bounds.status_retention_s());
}

void check_evacuation_bound(problems& found, const std::string& path,
                            const wire::WorkloadBounds& bounds) {
    const auto bound = bounds.evacuation_ms();
    if (bound != 0 && !(bound >= min_evacuation_ms && bound <= max_evacuation_ms)) {
        found.push_back(
            {path + ".evacuation_ms",
             "expected 0 or a time from 3000 to 3600000 ms, got " + std::to_string(bound),
             "leave it out where no bound is known"});
    }
}

void check_job_memory(problems& found, std::uint64_t bytes) {
    // A job of the greatest number of tasks takes 2 MB, and submissions an eighth of the memory.
    constexpr std::uint64_t min_job_bytes = 24UL << 20U;
    if (bytes != 0 && bytes < min_job_bytes) {
        found.push_back({"scheduler.max_job_bytes",
                         "expected at least " + std::to_string(min_job_bytes) + " bytes, got " +
                             std::to_string(bytes),
                         "choose a larger value, or leave the key out"});
    }
}

void check_scheduler(problems& found, const wire::SchedulerSettings& scheduler) {
    check_address(found, "scheduler.listen", scheduler.listen());
    check_address(found, "scheduler.readiness", scheduler.readiness());
    check_address(found, "scheduler.announcements", scheduler.announcements());
    check_address(found, "scheduler.store", scheduler.store());
    check_address(found, "scheduler.metrics", scheduler.metrics());
    check_zmq(found, "scheduler.zmq_endpoint", scheduler.zmq_endpoint());
    check_bounds(found, "scheduler.bounds", scheduler.bounds());
    check_evacuation_bound(found, "scheduler.bounds", scheduler.bounds());
    check_job_memory(found, scheduler.max_job_bytes());
}

void check_worker_guard(problems& found, const wire::WorkerGuardSettings& guard) {
    check_address(found, "worker_guard.announcements", guard.announcements());
    check_address(found, "worker_guard.worker", guard.worker());
    check_address(found, "worker_guard.metrics", guard.metrics());
    check_zmq(found, "worker_guard.zmq_endpoint", guard.zmq_endpoint());
    check_positive(found, "worker_guard.bounds.contact_timeout_ms",
                   guard.bounds().contact_timeout_ms());
    check_evacuation_bound(found, "worker_guard.bounds", guard.bounds());
    if (guard.scheduler_zmq_port() == 0 || guard.scheduler_zmq_port() > max_port) {
        found.push_back({"worker_guard.scheduler_zmq_port", "expected a TCP port from 1 to 65535",
                         "set the port that schedulers listen on for guards"});
    }
}

void check_range(problems& found, const std::string& path, std::uint64_t value, std::uint64_t least,
                 std::uint64_t most, const std::string& unit) {
    if (value < least || value > most) {
        found.push_back({path,
                         "expected " + std::to_string(least) + " to " + std::to_string(most) + " " +
                             unit + ", got " + std::to_string(value),
                         "choose a value in this range, or leave the key out"});
    }
}

// Half of the memory is left to the process itself, whose state grows with the deployment.
void check_client_memory(problems& found, const wire::ClientSettings& clients) {
    constexpr std::uint64_t client_fraction = 2;
    const auto sum = clients.max_bytes() + clients.max_connection_bytes();
    if (sum > clients.memory_bytes() / client_fraction) {
        found.push_back({"clients.memory_bytes",
                         "is " + std::to_string(clients.memory_bytes()) +
                             ", but clients.max_bytes and clients.max_connection_bytes together " +
                             "may use " + std::to_string(sum) + " bytes, more than half of it",
                         "lower these two limits, or set the memory of the process's machine"});
    }
}

void check_clients(problems& found, const wire::ClientSettings& clients) {
    constexpr std::uint64_t max_bytes = 1UL << 30U;
    constexpr std::uint64_t max_memory_bytes = 1UL << 40U;
    constexpr std::uint64_t min_connection_bytes = 8UL << 20U;
    constexpr std::uint64_t max_timeout_ms = 600'000;
    constexpr std::uint64_t max_buffer_bytes = 1UL << 20U;
    // The largest request head (16 KiB) must fit into what a connection may always hold.
    constexpr std::uint64_t min_read_ahead = 16UL << 10U;
    check_range(found, "clients.max_bytes", clients.max_bytes(), 1UL << 20U, max_bytes, "bytes");
    check_range(found, "clients.max_connection_bytes", clients.max_connection_bytes(),
                min_connection_bytes, max_bytes, "bytes");
    check_range(found, "clients.memory_bytes", clients.memory_bytes(), 1UL << 20U, max_memory_bytes,
                "bytes");
    check_client_memory(found, clients);
    check_range(found, "clients.max_requests", clients.max_requests(), 2, 1'000'000, "requests");
    check_range(found, "clients.max_connections", clients.max_connections(), 0, 1'000'000,
                "connections");
    check_range(found, "clients.address_share_percent", clients.address_share_percent(), 1, 100,
                "per cent");
    check_range(found, "clients.read_ahead_bytes", clients.read_ahead_bytes(), min_read_ahead,
                max_buffer_bytes, "bytes");
    check_range(found, "clients.receive_timeout_ms", clients.receive_timeout_ms(), 1'000,
                max_timeout_ms, "ms");
    check_range(found, "clients.send_timeout_ms", clients.send_timeout_ms(), 1'000, max_timeout_ms,
                "ms");
    check_range(found, "clients.socket_buffer_bytes", clients.socket_buffer_bytes(), 4'096,
                max_buffer_bytes, "bytes");
}

void check_location(problems& found, const wire::Location& location) {
    check_text(found, "location.region", location.region(), "the region this process runs in");
    check_text(found, "location.data_centre", location.data_centre(),
               "the data centre this process runs in");
}

void check_log_level(problems& found, const std::string& level) {
    const std::set<std::string> known{"info", "warning", "error"};
    if (!known.contains(level)) {
        found.push_back({"log_level", "expected info, warning or error, got \"" + level + "\"",
                         "use one of these levels"});
    }
}

}  // namespace

std::vector<document_problem> check_settings(const wire::Settings& settings) {
    problems found;
    check_text(found, "id", settings.id(), "an id unique among all processes");
    check_location(found, settings.location());
    check_log_level(found, settings.log_level());
    if (!settings.has_guard()) {
        check_clients(found, settings.clients());
    }
    switch (settings.role_case()) {
        case wire::Settings::kEntry:
            check_entry(found, settings);
            break;
        case wire::Settings::kGuard:
            check_guard(found, settings);
            break;
        case wire::Settings::kScheduler:
            check_scheduler(found, settings.scheduler());
            break;
        case wire::Settings::kWorkerGuard:
            check_worker_guard(found, settings.worker_guard());
            break;
        case wire::Settings::ROLE_NOT_SET:
            found.push_back(
                {"", "has no role", "add \"entry\", \"guard\", \"scheduler\" or \"worker_guard\""});
            break;
    }
    return found;
}

}  // namespace baobabrack
