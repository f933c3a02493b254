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

/// Endpoints of the guards, stored by the leader for its successors.
///
/// Guards report only to the leader, so a new leader has had no contact with them. It uses the
/// stored endpoints to announce itself; otherwise the guards would look for a new leader only after
/// the old one has been silent for some time.
class guard_directory {
public:
    /// Applies a record of the progress topic.
    ///
    /// @return whether the record describes a guard
    bool apply(std::string_view key, std::string_view value, log_offset offset);

    /// @param key key of a record
    /// @return the ZeroMQ endpoint of the guard that the record describes, or null
    const std::string* find_endpoint(std::string_view key) const;

    /// Starts a term as leader. Guards that do not report are removed after a timeout.
    void begin_term(time_point now);

    /// Records that a guard has reported.
    void record_contact(const std::string& host, const std::string& endpoint, time_point now);

    /// @return the guards' ZeroMQ endpoints by host
    const std::map<std::string, std::string>& endpoints() const { return endpoints_; }

    /// @return the hosts of all known guards
    std::set<std::string> hosts() const;

    /// Removes guards that have timed out.
    ///
    /// @return records to store for all changes since the last call
    std::vector<keyed_record> drain_changes(time_point now);

private:
    std::map<std::string, std::string> endpoints_;
    std::map<std::string, log_offset, std::less<>> offsets_;
    std::map<std::string, time_point> last_heard_;
    std::set<std::string> changed_;
};

}  // namespace baobabrack::workload

#endif
