#ifndef BAOBABRACK_WORKLOAD_GUARD_DIRECTORY_HPP
#define BAOBABRACK_WORKLOAD_GUARD_DIRECTORY_HPP

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack::workload {

/// Where each guard is, as the leader stores it for the ones that come after it.
///
/// Guards report to the leader only, so a scheduler that takes over has not heard of them; without
/// this they would look for it only after some silence.
class guard_directory {
public:
    /// Takes a record of the topic of progress.
    ///
    /// @return whether it tells of a guard
    bool apply(std::string_view key, std::string_view value, log_offset offset);

    /// This scheduler leads from now on; guards that it does not hear are dropped after a while.
    void begin_term(time_point now);

    /// A guard has reported.
    void record_contact(const std::string& host, const std::string& endpoint, time_point now);

    /// @return the ZeroMQ endpoints by host
    const std::map<std::string, std::string>& endpoints() const { return endpoints_; }

    /// @return the hosts
    std::set<std::string> hosts() const;

    /// @return records of what has changed since the last call, to be stored
    std::vector<keyed_record> drain_changes(time_point now);

private:
    std::map<std::string, std::string> endpoints_;
    std::map<std::string, log_offset, std::less<>> offsets_;
    std::map<std::string, time_point> heard_;
    std::set<std::string> changed_;
};

}  // namespace baobabrack::workload

#endif
