#ifndef BAOBABRACK_WORKLOAD_PROGRESS_PARTS_HPP
#define BAOBABRACK_WORKLOAD_PROGRESS_PARTS_HPP

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

/// Records that are stored with one append, and the changes that they store. The records of the
/// changes come first, in the same order.
struct progress_part {
    std::vector<keyed_record> records;
    progress_batch batch;
};

/// Divides the records of a batch over as many appends as the store's limits require.
///
/// The parts are stored in order. Only the last one has the numbers of the applied ends, because an
/// end may be acknowledged once all changes are stored.
class progress_parts {
public:
    /// @param max_bytes of the records of one part
    explicit progress_parts(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Adds a change and its record. Changes are added before all other records.
    void add(progress_batch::change change, keyed_record record);

    /// Adds a record that stores no change of a job.
    void add(keyed_record record);

    /// @return the parts; at least one, which may be empty
    std::deque<progress_part> finish(std::map<worker_instance, std::uint64_t> applied_ends);

private:
    progress_part& part_for(const keyed_record& record);

    std::size_t max_bytes_;
    std::size_t last_part_bytes_ = 0;
    std::deque<progress_part> parts_{1};
};

/// @param part with at least two records
/// @return its first and its second half; the applied ends are in the second one
std::pair<progress_part, progress_part> halve(progress_part part);

}  // namespace baobabrack::workload

#endif
