#include "baobabrack/dispatch/confused_callers.hpp"

#include <algorithm>

namespace baobabrack {

void confused_callers::note(confused_caller row, wall_time now) {
    const row_key key{row.word, row.region};
    if (const auto found = rows_.find(key); found != rows_.end()) {
        row.since = found->second.since;
        row.requests = found->second.requests;
    } else {
        make_room();
        row.since = now;
    }
    row.last = now;
    ++row.requests;
    rows_.insert_or_assign(key, std::move(row));
}

void confused_callers::make_room() {
    if (rows_.size() < most_rows) {
        return;
    }
    rows_.erase(std::min_element(rows_.begin(), rows_.end(), [](const auto& a, const auto& b) {
        return a.second.last < b.second.last;
    }));
}

std::vector<confused_caller> confused_callers::report() const {
    std::vector<confused_caller> rows;
    rows.reserve(rows_.size());
    for (const auto& [key, row] : rows_) {
        rows.push_back(row);
    }
    return rows;
}

}  // namespace baobabrack
