#ifndef BAOBABRACK_WORKLOAD_FAILURE_RECORD_HPP
#define BAOBABRACK_WORKLOAD_FAILURE_RECORD_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// The failed runs of a task.
///
/// A run's end is reported until it is acknowledged, to one leader after another. Each failed run
/// is kept by its number, so that recording it again changes nothing.
class failure_record {
public:
    failure_record() = default;

    /// @param runs        the failed runs, in any order
    /// @param without_run how many more runs have failed; earlier versions stored only a count
    explicit failure_record(std::vector<run_number> runs, std::uint32_t without_run = 0);

    /// Records that a run has failed.
    ///
    /// @param latest the latest run of the task; an earlier one is taken for one of those that were
    ///               counted without their numbers, if there are any
    /// @return whether this was not known before
    bool add(run_number run, run_number latest);

    /// @return the failed runs with known numbers, in ascending order
    const std::vector<run_number>& runs() const { return runs_; }

    /// @return how many more runs have failed
    std::uint32_t without_run() const { return without_run_; }

    /// @return how many runs have failed
    std::uint32_t count() const { return static_cast<std::uint32_t>(runs_.size()) + without_run_; }

    friend bool operator==(const failure_record&, const failure_record&) = default;

private:
    std::vector<run_number> runs_;
    std::uint32_t without_run_ = 0;
};

}  // namespace baobabrack::workload

#endif
