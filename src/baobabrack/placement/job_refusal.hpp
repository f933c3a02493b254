#ifndef BAOBABRACK_PLACEMENT_JOB_REFUSAL_HPP
#define BAOBABRACK_PLACEMENT_JOB_REFUSAL_HPP

#include <cstdint>
#include <optional>

#include "baobabrack/placement/planner.hpp"

namespace baobabrack {

class capacity_view;

/// Judges whether a job could run if nothing else did.
///
/// @param capacity what the workers have in all
/// @return a refusal that names the largest shape that fits; nothing if the job can run, or if no
///         worker is known yet
std::optional<planned_refusal> refuse_if_never(const capacity_view& capacity,
                                               const planned_job& job);

/// @param accelerator_quota zero means no limit
/// @return a refusal if the job alone is above its workspace's quota
std::optional<planned_refusal> refuse_above_quota(std::uint32_t accelerator_quota,
                                                  const planned_job& job);

}  // namespace baobabrack

#endif
