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

/// Configuration of one target, as given in the services file.
struct target_config {
    wire::TargetAnnouncement announcement;
    duration work_time{};
};

/// The parsed services file, with each group expanded to its workers or targets.
struct services {
    wire::StandinLog log;
    std::vector<wire::WorkerFacts> workers;
    std::vector<target_config> targets;
    std::vector<http_endpoint> announce_to;
    duration announce_interval{};
    duration usage_lag{};
};

/// @param text             JSON of a StandinServices message
/// @param default_endpoint endpoint of the workers for which the file names no host
/// @return the services, or `invalid` with every problem of the file
result<services> parse_services(const std::string& text, const http_endpoint& default_endpoint);

}  // namespace baobabrack::standin

#endif
