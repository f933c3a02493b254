#ifndef BAOBABRACK_WORKLOAD_SCHEDULER_NODE_LIMITS_HPP
#define BAOBABRACK_WORKLOAD_SCHEDULER_NODE_LIMITS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/units/time.hpp"

/// Times, names and sizes that the parts of `scheduler_node` share.
namespace baobabrack::workload {

inline const topic_id intake_topic{"keyed.baobabrack-jobs"};
inline const topic_id progress_topic{"keyed.baobabrack-progress"};
inline constexpr std::string_view leader_key = "leader";
inline constexpr std::string_view workspaces_key = "workspaces";
// Schedulers that do not lead read the topics at most this often. Callers see the state of a job at
// most this much later, and the calls to the store do not grow with the number of decisions.
inline constexpr duration follower_poll_interval = std::chrono::milliseconds{120};
// A leader appends at least this often, which confirms that it is still the leader.
inline constexpr duration confirmation_interval = std::chrono::milliseconds{700};
// A leader extends leases only this long after the last confirmation. A new leader relies on this
// to bound the leases of its predecessor.
inline constexpr duration max_confirmation_age = std::chrono::milliseconds{2000};
// An append that is unanswered for this long, many times the usual response time, counts as
// refused.
inline constexpr duration append_response_timeout = std::chrono::milliseconds{600};
// Part of each append that is left for the record of the leader, in bytes.
inline constexpr std::size_t leader_record_allowance = 1024;
// Part of each record that is left for its key when the size of progress is planned, in bytes.
inline constexpr std::size_t key_allowance = 128;

/// @return the largest value of a record that the store takes, in bytes
std::size_t max_value_size(const store_limits& limits, std::size_t key_size);

/// @return whole milliseconds, for the log and for messages
std::int64_t to_ms(duration span);

}  // namespace baobabrack::workload

#endif
