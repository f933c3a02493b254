#ifndef BAOBABRACK_WORKLOAD_JOB_TABLE_HPP
#define BAOBABRACK_WORKLOAD_JOB_TABLE_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/workload/job_progress.hpp"

namespace baobabrack::workload {

/// Key prefixes of the records; the rest of a key is the job's id.
inline constexpr std::string_view submission_prefix = "job/";
inline constexpr std::string_view cancel_prefix = "cancel/";
inline constexpr std::string_view progress_prefix = "progress/";

/// A job as the stored records have it.
struct stored_job {
    job_spec spec;
    job_progress progress;
    bool cancelled = false;
};

/// Every job that the stored records tell of. Records may come twice and, between the two topics,
/// in any order; for one key the later offset wins.
class job_table {
public:
    /// Takes a record of the topic of submissions and cancels.
    ///
    /// @return the job's id if the record is new and changes something; empty otherwise
    job_id apply_intake(std::string_view key, std::string_view value, log_offset offset);

    /// Takes a record of the topic of progress.
    void apply_progress(std::string_view key, std::string_view value, log_offset offset);

    /// @return the job, or null
    const stored_job* find(const job_id& id) const;

    /// @return what callers see: a cancelled job is shown so before its last run has stopped
    static job_phase visible_phase(const stored_job& job);

    /// @return accepted jobs of a queue without a due time of which no task has been started
    std::uint64_t count_pending(const queue_id& queue) const;

    /// @return jobs that ended before a moment, and ended progress of which the job is gone
    std::vector<job_id> ended_before(wall_time moment) const;

    const std::map<job_id, stored_job>& jobs() const { return jobs_; }

    /// @return records that could not be understood
    std::uint64_t unreadable_records() const { return unreadable_records_; }

private:
    job_id apply_submission(const job_id& id, std::string_view value);
    job_id apply_cancel(const job_id& id, std::string_view value);
    bool is_newer(std::string_view key, log_offset offset, bool dropped);
    void update_progress(stored_job& job, std::string_view value);

    std::map<job_id, stored_job> jobs_;
    // Records that came before the job that they speak of.
    std::map<job_id, std::string> unmatched_progress_;
    std::map<job_id, bool> unmatched_cancels_;
    std::map<std::string, log_offset, std::less<>> latest_offsets_;
    std::uint64_t unreadable_records_ = 0;
};

}  // namespace baobabrack::workload

#endif
