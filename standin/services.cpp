#include "standin/services.hpp"

#include <algorithm>

#include "baobabrack/codec/strict_json.hpp"

namespace baobabrack::standin {

namespace {

constexpr duration default_announce_interval = std::chrono::seconds{1};
constexpr duration default_usage_lag = std::chrono::seconds{10};
constexpr auto loopback = "127.0.0.1";

std::string or_loopback(const std::string& host) {
    return host.empty() ? loopback : host;
}

duration ms_or(std::uint32_t ms, duration fallback) {
    return ms == 0 ? fallback : duration{std::chrono::milliseconds{ms}};
}

wire::Location make_location(const wire::Location& data_centre, const std::string& prefix,
                             std::uint32_t per_rack, std::uint32_t index) {
    auto location = data_centre;
    const auto rack = index / std::max(per_rack, 1U) + 1;
    location.set_rack(prefix + "rack-" + std::to_string(rack));
    return location;
}

wire::WorkerFacts make_worker(const wire::StandinWorkers& group, std::uint32_t index,
                              const http_endpoint& default_endpoint) {
    wire::WorkerFacts facts;
    facts.set_worker(group.prefix() + std::to_string(index + 1));
    facts.set_incarnation(1);
    *facts.mutable_location() =
        make_location(group.location(), group.prefix(), group.per_rack(), index);
    *facts.mutable_capacity() = group.capacity();
    const bool uses_default = group.host().empty();
    facts.set_host(uses_default ? default_endpoint.host : group.host());
    facts.set_port(uses_default ? default_endpoint.port : group.first_port() + index);
    return facts;
}

target_config make_target(const wire::StandinTargets& group, std::uint32_t index) {
    target_config config;
    auto& facts = config.announcement;
    facts.set_target(group.prefix() + std::to_string(index + 1));
    facts.set_service(group.service());
    *facts.mutable_location() =
        make_location(group.location(), group.prefix(), group.per_rack(), index);
    facts.set_host(or_loopback(group.host()));
    facts.set_port(group.first_port() == 0 ? 0 : group.first_port() + index);
    facts.set_slots(group.slots());
    facts.set_connections(group.connections());
    if (group.guard_first_port() != 0) {
        facts.set_guard_endpoint("tcp://" + facts.host() + ":" +
                                 std::to_string(group.guard_first_port() + index));
    }
    config.work_time = std::chrono::milliseconds{group.work_ms()};
    return config;
}

}  // namespace

result<services> parse_services(const std::string& text, const http_endpoint& default_endpoint) {
    wire::StandinServices file;
    const auto problems = parse_strict_json(text, file);
    if (!problems.empty()) {
        return failure{failure_kind::invalid, describe(problems),
                       "correct the services file as docs/stand-in.md describes it"};
    }
    services configured;
    configured.log = file.log();
    for (const auto& group : file.workers()) {
        for (std::uint32_t index = 0; index < group.count(); ++index) {
            configured.workers.push_back(make_worker(group, index, default_endpoint));
        }
    }
    for (const auto& group : file.targets()) {
        for (std::uint32_t index = 0; index < group.count(); ++index) {
            configured.targets.push_back(make_target(group, index));
        }
    }
    for (const auto& entry : file.announce_to()) {
        configured.announce_to.push_back(
            {.host = or_loopback(entry.host()), .port = static_cast<std::uint16_t>(entry.port())});
    }
    configured.announce_interval = ms_or(file.announce_interval_ms(), default_announce_interval);
    configured.usage_lag = ms_or(file.usage_lag_ms(), default_usage_lag);
    return configured;
}

}  // namespace baobabrack::standin
