#include "baobabrack/transport/connection_policy.hpp"

#include <algorithm>

namespace baobabrack::connection_policy {

namespace {

using namespace std::chrono_literals;

constexpr duration min_unused_time = 200ms;
constexpr duration min_idle_time = 1s;
// Fraction of the used connections that are chosen at most, so that a burst of new connections does
// not close all of them.
constexpr std::size_t chosen_fraction = 8;
// Limits of a full server. Callers wait three seconds for a response.
constexpr duration min_transfer_time = 3s;
constexpr duration min_stall_time = 1s;
constexpr double scaling_begin = 0.5;

duration scale(duration configured, duration least, double use) {
    if (configured <= least || use <= scaling_begin) {
        return configured;
    }
    const auto fullness = std::min(1.0, (use - scaling_begin) / (1 - scaling_begin));
    const auto span = std::chrono::duration<double, duration::period>{configured - least};
    return configured - std::chrono::duration_cast<duration>(span * fullness);
}

}  // namespace

time_limits scale(const time_limits& configured, double use) {
    return {.receive = scale(configured.receive, min_transfer_time, use),
            .send = scale(configured.send, min_transfer_time, use),
            .stall = scale(configured.stall, min_stall_time, use)};
}

std::vector<std::size_t> choose_idle(std::vector<idle_connection> idle, std::size_t total) {
    std::erase_if(idle, [](const idle_connection& one) {
        return one.idle_time <= (one.used ? min_idle_time : min_unused_time);
    });
    std::sort(idle.begin(), idle.end(), [](const auto& left, const auto& right) {
        if (left.used != right.used) {
            return right.used;
        }
        return left.address_connections != right.address_connections
                   ? left.address_connections > right.address_connections
                   : left.idle_time > right.idle_time;
    });
    const auto unused = static_cast<std::size_t>(std::count_if(
        idle.begin(), idle.end(), [](const idle_connection& one) { return !one.used; }));
    const auto most = std::max(unused, total / chosen_fraction + 1);
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < std::min(idle.size(), most); ++i) {
        chosen.push_back(idle[i].index);
    }
    return chosen;
}

}  // namespace baobabrack::connection_policy
