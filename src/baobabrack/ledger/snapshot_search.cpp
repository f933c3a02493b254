#include "baobabrack/ledger/snapshot_search.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/records.pb.h"

namespace baobabrack {

namespace {

constexpr std::uint64_t window_entries = 512;

}  // namespace

void snapshot_search::reset() {
    assembler_.clear();
    found_.reset();
    position_ = log_offset{UINT64_MAX};
    bounds_known_ = false;
}

bool snapshot_search::take(const log_page& page) {
    oldest_ = page.oldest;
    end_ = page.end;
    if (!bounds_known_) {
        bounds_known_ = true;
        window_begin_ = page.end;
        return next_window();
    }
    take_entries(page);
    if (!page.entries.empty() && position_ < window_end_) {
        return false;
    }
    return found_.has_value() || next_window();
}

void snapshot_search::take_entries(const log_page& page) {
    for (const auto& entry : page.entries) {
        if (entry.offset >= window_end_) {
            position_ = window_end_;
            return;
        }
        position_ = log_offset{entry.offset.get() + 1};
        wire::LogBatch batch;
        if (!batch.ParseFromString(entry.payload)) {
            continue;
        }
        for (const auto& record : batch.records()) {
            if (!record.has_snapshot_chunk()) {
                continue;
            }
            auto whole = assembler_.add(record.snapshot_chunk());
            if (whole && (!found_ || whole->covers > found_->covers)) {
                found_ = std::move(whole);
            }
        }
    }
}

bool snapshot_search::next_window() {
    if (window_begin_ <= oldest_) {
        return true;
    }
    window_end_ = window_begin_;
    const auto kept = window_end_.get() - oldest_.get();
    window_begin_ = log_offset{window_end_.get() - std::min(kept, window_entries)};
    position_ = window_begin_;
    return false;
}

}  // namespace baobabrack
