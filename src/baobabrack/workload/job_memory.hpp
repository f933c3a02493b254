#ifndef BAOBABRACK_WORKLOAD_JOB_MEMORY_HPP
#define BAOBABRACK_WORKLOAD_JOB_MEMORY_HPP

#include <cstddef>
#include <map>
#include <string>

#include "baobabrack/workload/job_spec.hpp"

namespace baobabrack::workload {

/// @return the estimated memory of a job in bytes, with the progress of all its tasks
std::size_t estimate_memory(const job_spec& spec);

/// Estimated memory of jobs, in bytes, in total and by owner: the workspace, or the queue of a job
/// that was submitted without a key.
class job_memory {
public:
    void add(const job_spec& spec);
    void remove(const job_spec& spec);

    std::size_t total() const { return total_; }

    /// @return the memory of the jobs that have the same owner
    std::size_t of_owner(const job_spec& spec) const;

private:
    std::size_t total_ = 0;
    std::map<std::string, std::size_t> by_owner_;
};

/// Limits of the memory for jobs.
struct job_memory_limits {
    /// Of all jobs, in bytes. One owner may use half of it.
    std::size_t max_bytes = 48UL << 20U;

    /// @param stored     all stored jobs
    /// @param unfinished submissions that are being stored; they may use an eighth of the memory,
    ///                   since every scheduler stores some at the same time
    /// @return whether another job may be stored
    bool admits(const job_spec& spec, const job_memory& stored, const job_memory& unfinished) const;
};

}  // namespace baobabrack::workload

#endif
