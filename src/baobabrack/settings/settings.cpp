#include "baobabrack/settings/settings.hpp"

#include <fstream>
#include <sstream>

namespace baobabrack {

namespace {

constexpr std::uint32_t default_append_timeout_ms = 1'000;
constexpr std::uint32_t default_batch_interval_ms = 5;
constexpr std::uint32_t default_poll_interval_ms = 50;
constexpr std::uint64_t default_retention_records = 200'000;
constexpr std::uint32_t default_max_body_bytes = 4U << 20U;
constexpr std::uint32_t default_max_header_bytes = 16U << 10U;
constexpr std::uint32_t default_idle_timeout_ms = 30'000;
constexpr std::uint32_t default_max_connections = 4'096;
constexpr std::uint32_t default_heartbeat_interval_ms = 500;
constexpr std::uint32_t default_drain_timeout_ms = 60'000;
constexpr std::uint32_t default_drain_notice_ms = 1'000;
constexpr std::uint32_t default_slots = 8;
constexpr std::uint32_t default_connections = 64;

constexpr std::uint64_t default_client_bytes = 16UL << 20U;
constexpr std::uint64_t default_connection_bytes = 48UL << 20U;
// The memory of a worker guard, the smaller of the two roles' machines.
constexpr std::uint64_t default_memory_bytes = 128UL << 20U;
constexpr std::uint32_t default_client_requests = 1'024;
constexpr std::uint32_t default_address_share_percent = 50;
constexpr std::uint32_t default_read_ahead_bytes = 16U << 10U;
constexpr std::uint32_t default_client_timeout_ms = 30'000;
constexpr std::uint32_t default_socket_buffer_bytes = 32U << 10U;

std::uint32_t or_default(std::uint32_t value, std::uint32_t fallback) {
    return value == 0 ? fallback : value;
}

void fill_http(wire::HttpSettings& http) {
    http.set_max_body_bytes(or_default(http.max_body_bytes(), default_max_body_bytes));
    http.set_max_header_bytes(or_default(http.max_header_bytes(), default_max_header_bytes));
    http.set_idle_timeout_ms(or_default(http.idle_timeout_ms(), default_idle_timeout_ms));
    http.set_max_connections(or_default(http.max_connections(), default_max_connections));
}

// `max_connections` stays 0, as its default depends on the limit of open descriptors.
void fill_clients(wire::ClientSettings& clients) {
    if (clients.max_bytes() == 0) {
        clients.set_max_bytes(default_client_bytes);
    }
    if (clients.max_connection_bytes() == 0) {
        clients.set_max_connection_bytes(default_connection_bytes);
    }
    if (clients.memory_bytes() == 0) {
        clients.set_memory_bytes(default_memory_bytes);
    }
    clients.set_max_requests(or_default(clients.max_requests(), default_client_requests));
    clients.set_address_share_percent(
        or_default(clients.address_share_percent(), default_address_share_percent));
    clients.set_read_ahead_bytes(or_default(clients.read_ahead_bytes(), default_read_ahead_bytes));
    clients.set_receive_timeout_ms(
        or_default(clients.receive_timeout_ms(), default_client_timeout_ms));
    clients.set_send_timeout_ms(or_default(clients.send_timeout_ms(), default_client_timeout_ms));
    clients.set_socket_buffer_bytes(
        or_default(clients.socket_buffer_bytes(), default_socket_buffer_bytes));
}

void fill_log(wire::LogSettings& log) {
    log.set_append_timeout_ms(or_default(log.append_timeout_ms(), default_append_timeout_ms));
    log.set_batch_interval_ms(or_default(log.batch_interval_ms(), default_batch_interval_ms));
    log.set_poll_interval_ms(or_default(log.poll_interval_ms(), default_poll_interval_ms));
    if (log.retention_records() == 0) {
        log.set_retention_records(default_retention_records);
    }
}

void fill_entry(wire::EntrySettings& entry) {
    fill_http(*entry.mutable_http());
    fill_log(*entry.mutable_log());
    entry.set_heartbeat_interval_ms(
        or_default(entry.heartbeat_interval_ms(), default_heartbeat_interval_ms));
    entry.set_drain_timeout_ms(or_default(entry.drain_timeout_ms(), default_drain_timeout_ms));
    entry.set_drain_notice_ms(or_default(entry.drain_notice_ms(), default_drain_notice_ms));
}

void fill_guard(wire::GuardSettings& guard) {
    guard.set_slots(or_default(guard.slots(), default_slots));
    guard.set_connections(or_default(guard.connections(), default_connections));
    guard.set_drain_timeout_ms(or_default(guard.drain_timeout_ms(), default_drain_timeout_ms));
}

void set_endpoint(wire::Endpoint& endpoint, std::uint32_t port) {
    endpoint.set_host("127.0.0.1");
    endpoint.set_port(port);
}

wire::GuardSettings example_guard() {
    wire::GuardSettings guard;
    guard.set_zmq_endpoint("tcp://127.0.0.1:7500");
    guard.set_target("TARGET");
    set_endpoint(*guard.mutable_target_endpoint(), 8200);
    return guard;
}

wire::EntrySettings example_entry() {
    constexpr std::uint32_t platform_port = 7200;
    wire::EntrySettings entry;
    entry.set_zmq_endpoint("tcp://127.0.0.1:7400");
    set_endpoint(*entry.mutable_http()->mutable_listen(), 7300);
    set_endpoint(*entry.mutable_log()->mutable_endpoint(), platform_port);
    set_endpoint(*entry.mutable_platform(), platform_port);
    return entry;
}

}  // namespace

void fill_defaults(wire::Settings& settings) {
    if (settings.log_level().empty()) {
        settings.set_log_level("info");
    }
    if (!settings.has_guard()) {
        fill_clients(*settings.mutable_clients());
    }
    if (settings.has_entry()) {
        fill_entry(*settings.mutable_entry());
    }
    if (settings.has_guard()) {
        fill_guard(*settings.mutable_guard());
    }
}

parsed_settings parse_settings(std::string_view text) {
    parsed_settings parsed;
    parsed.problems = parse_strict_json(text, parsed.settings);
    if (!parsed.problems.empty()) {
        return parsed;
    }
    fill_defaults(parsed.settings);
    parsed.problems = check_settings(parsed.settings);
    return parsed;
}

parsed_settings read_settings_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return {.settings = {},
                .problems = {{"", "cannot read " + path, "check the path and its permissions"}}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str());
}

wire::Settings default_settings(std::string_view role) {
    wire::Settings settings;
    settings.set_id(std::string(role) + "-1");
    settings.mutable_location()->set_region("REGION");
    settings.mutable_location()->set_data_centre("DATA-CENTRE");
    if (role == "guard") {
        *settings.mutable_guard() = example_guard();
    } else {
        *settings.mutable_entry() = example_entry();
    }
    fill_defaults(settings);
    return settings;
}

}  // namespace baobabrack
