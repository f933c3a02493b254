#ifndef BAOBABRACK_STANDIN_SERVICES_HPP
#define BAOBABRACK_STANDIN_SERVICES_HPP

#include <string>
#include <vector>

#include "baobabrack/platform.pb.h"
#include "baobabrack/standin.pb.h"
#include "baobabrack/transport/http_types.hpp"
#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack::standin {

/// One target as the services file describes it.
struct target_config {
    wire::TargetAnnouncement announcement;
    duration work_time{};
};

/// What the stand-in serves, with the file's groups written out one by one.
struct services {
    wire::StandinLog log;
    std::vector<wire::WorkerFacts> workers;
    std::vector<target_config> targets;
    std::vector<http_endpoint> announce_to;
    duration announce_interval{};
    duration usage_lag{};
};

/// @param text             JSON of a StandinServices message
/// @param default_endpoint endpoint of workers that have none of their own
result<services> parse_services(const std::string& text, const http_endpoint& default_endpoint);

}  // namespace baobabrack::standin

#endif
