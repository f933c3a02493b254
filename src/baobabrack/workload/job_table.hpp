#ifndef BAOBABRACK_WORKLOAD_JOB_TABLE_HPP
#define BAOBABRACK_WORKLOAD_JOB_TABLE_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/workload/job_memory.hpp"
#include "baobabrack/workload/job_progress.hpp"

namespace baobabrack::workload {

/// Prefixes of the record keys. The prefix is followed by the id of the job.
inline constexpr std::string_view submission_prefix = "job/";
inline constexpr std::string_view cancel_prefix = "cancel/";
inline constexpr std::string_view progress_prefix = "progress/";

/// A job as described by the stored records.
struct stored_job {
    job_spec spec;
    job_progress progress;
    bool cancelled = false;
};

/// All jobs in the stored records.
///
/// Records may be applied more than once, and in any order across the two topics. For each key, the
/// record with the highest offset takes effect.
class job_table {
public:
    /// Applies a record of the topic of submissions and cancellations.
    ///
    /// @return the id of the job if the record is new and changes the table; empty otherwise
    job_id apply_intake(std::string_view key, std::string_view value, log_offset offset);

    /// Applies a record of the progress topic.
    void apply_progress(std::string_view key, std::string_view value, log_offset offset);

    /// @return the job, or null
    const stored_job* find(const job_id& id) const;

    /// @return the phase shown to callers: a cancelled job is shown as cancelled even while its
    ///         runs are still stopping
    static job_phase visible_phase(const stored_job& job);

    /// @return the number of open jobs in a queue of which no worker has started a task, also if a
    ///         start was ordered or refused; jobs with due times don't count
    std::uint64_t count_pending(const queue_id& queue) const;

    /// @return jobs that ended before the given time, including those of which only the progress is
    ///         still stored
    std::vector<job_id> ended_before(wall_time time) const;

    /// @return open jobs whose progress has been read but not their submission
    std::vector<job_id> jobs_without_submission() const;

    const std::map<job_id, stored_job>& jobs() const { return jobs_; }

    /// @return the estimated memory of all jobs
    const job_memory& memory() const { return memory_; }

    /// @return the number of records that could not be parsed
    std::uint64_t unreadable_records() const { return unreadable_records_; }

private:
    job_id apply_submission(const job_id& id, std::string_view value);
    job_id apply_cancel(const job_id& id, std::string_view value);
    bool is_newer(std::string_view key, log_offset offset, bool deleted);
    void update_progress(stored_job& job, std::string_view value);

    std::map<job_id, stored_job> jobs_;
    job_memory memory_;
    // Records that were applied before the submission of their job.
    std::map<job_id, std::string> unmatched_progress_;
    std::map<job_id, bool> unmatched_cancels_;
    std::map<std::string, log_offset, std::less<>> latest_offsets_;
    std::uint64_t unreadable_records_ = 0;
};

}  // namespace baobabrack::workload

#endif
