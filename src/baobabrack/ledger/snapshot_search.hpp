#ifndef BAOBABRACK_LEDGER_SNAPSHOT_SEARCH_HPP
#define BAOBABRACK_LEDGER_SNAPSHOT_SEARCH_HPP

#include <cstdint>
#include <optional>

#include "baobabrack/ledger/snapshot_chunks.hpp"
#include "baobabrack/services/log_service.hpp"

namespace baobabrack {

/// Looks for the newest whole snapshot in the log, in windows from its end backwards.
class snapshot_search {
public:
    /// Starts anew.
    void reset();

    /// @return where to read next; beyond the log's end at first, to learn its bounds
    log_offset next_read() const { return position_; }

    /// Takes in what was read at `next_read`.
    ///
    /// @return whether the search is over
    bool take(const log_page& page);

    /// @return the snapshot that covers most, if a whole one was found
    const std::optional<whole_snapshot>& found() const { return found_; }

    /// @return the log's oldest offset when the search last read
    log_offset oldest() const { return oldest_; }

    /// @return the log's end when the search last read
    log_offset end() const { return end_; }

private:
    void take_entries(const log_page& page);
    bool next_window();

    snapshot_assembler assembler_{{}};
    std::optional<whole_snapshot> found_;
    log_offset position_{UINT64_MAX};
    log_offset window_begin_{UINT64_MAX};
    log_offset window_end_{UINT64_MAX};
    log_offset oldest_{0};
    log_offset end_{0};
    bool bounds_known_ = false;
};

}  // namespace baobabrack

#endif
