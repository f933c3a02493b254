#ifndef BAOBABRACK_GANGS_GANG_RECORDS_HPP
#define BAOBABRACK_GANGS_GANG_RECORDS_HPP

#include <chrono>
#include <string>
#include <vector>

#include "baobabrack/gangs/job.hpp"
#include "baobabrack/records.pb.h"

namespace baobabrack {

/// Records of the log about workers and jobs.
wire::Record joined_record(const wire::WorkerFacts& facts);
wire::Record left_record(const worker_id& worker, incarnation version, const std::string& reason);
wire::Record submitted_record(const wire::JobSpec& spec);
wire::Record committed_record(const job_id& job, attempt_number attempt,
                              const std::vector<job_member>& members);
wire::Record stopping_record(const job_id& job, attempt_number attempt, wire::StopReason reason);

/// @param checkpoint progress that every member has saved
/// @param culprit    worker that the failure is put down to; empty if none is
wire::Record released_record(const job& stopped, std::chrono::milliseconds checkpoint,
                             const worker_id& culprit);
wire::Record finished_record(const job& finished, wire::JobOutcome outcome,
                             const std::string& message);
wire::Record cancel_record(const job_id& job, const std::string& reason);

}  // namespace baobabrack

#endif
