#ifndef BAOBABRACK_GANGS_JOB_RULES_HPP
#define BAOBABRACK_GANGS_JOB_RULES_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include "baobabrack/gangs/job.hpp"
#include "baobabrack/units/failure.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack {

/// How many of a job's stops are kept.
constexpr std::size_t most_stops_kept = 16;

failure unknown_job(const std::string& id);

/// @param wanted the phase that the record needs
failure wrong_phase(const job& target, std::string_view wanted);

/// @return `invalid` if no gang can be made of the specification
result<void> check_spec(const wire::JobSpec& spec);

/// @return `conflict` if a member's worker is not there or has too little free, `invalid` if the
///         gang is not whole
result<void> check_members(const job& target, const wire::GangCommitted& committed,
                           const fleet& workers);

/// Counts a failed attempt, unless the job has failed on the same worker before: that may be the
/// worker's fault.
void count_failure(job& target, const worker_id& culprit);

/// @return whether the job has failed too often to be tried again
bool is_exhausted(const job& target);

/// @return whether the job's latest attempts all lost a worker soon after their start, so that
///         another attempt is not justified: it would probably cost another worker
bool loses_workers(const job& target);

}  // namespace baobabrack

#endif
