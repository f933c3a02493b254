#include "baobabrack/workload/progress_parts.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "baobabrack/keyed/record_sizes.hpp"

namespace baobabrack::workload {

void progress_parts::add(keyed_record record) {
    part_for(record).records.push_back(std::move(record));
}

void progress_parts::add(progress_batch::change change, keyed_record record) {
    auto& part = part_for(record);
    part.records.push_back(std::move(record));
    part.batch.changes.push_back(std::move(change));
}

std::deque<progress_part> progress_parts::finish(
    std::map<worker_instance, std::uint64_t> applied_ends) {
    parts_.back().batch.applied_ends = std::move(applied_ends);
    return std::move(parts_);
}

std::pair<progress_part, progress_part> halve(progress_part part) {
    const auto count = part.records.size() / 2;
    const auto change_count = std::min(count, part.batch.changes.size());
    const auto middle = part.records.begin() + static_cast<std::ptrdiff_t>(count);
    const auto middle_change =
        part.batch.changes.begin() + static_cast<std::ptrdiff_t>(change_count);
    progress_part first;
    first.records.assign(std::make_move_iterator(part.records.begin()),
                         std::make_move_iterator(middle));
    first.batch.changes.assign(std::make_move_iterator(part.batch.changes.begin()),
                               std::make_move_iterator(middle_change));
    part.records.erase(part.records.begin(), middle);
    part.batch.changes.erase(part.batch.changes.begin(), middle_change);
    return {std::move(first), std::move(part)};
}

progress_part& progress_parts::part_for(const keyed_record& record) {
    const auto size = framed_size(record);
    if (!parts_.back().records.empty() && last_part_bytes_ + size > max_bytes_) {
        parts_.emplace_back();
        last_part_bytes_ = 0;
    }
    last_part_bytes_ += size;
    return parts_.back();
}

}  // namespace baobabrack::workload
