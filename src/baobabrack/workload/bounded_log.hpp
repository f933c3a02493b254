#ifndef BAOBABRACK_WORKLOAD_BOUNDED_LOG_HPP
#define BAOBABRACK_WORKLOAD_BOUNDED_LOG_HPP

#include <cstdint>
#include <string>

#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack::workload {

/// Bounds the log lines that callers can cause, which would otherwise use up the rate of the whole
/// process.
///
/// While lines are omitted, writes one `log-lines-omitted` event a second with their number.
class bounded_log {
public:
    struct options {
        /// What the lines are about, for the summary.
        std::string topic;
        /// A quarter of the lines that a process writes in a second.
        std::uint64_t lines_per_second = 100;
    };

    bounded_log(runtime& loop, options opts);

    /// @return whether one more line may be written now; if not, the line counts as omitted
    bool allow();

    /// @return the number of lines that were omitted
    std::uint64_t omitted() const { return omitted_; }

    /// @return the number of summaries that were written
    std::uint64_t summaries() const { return summaries_; }

private:
    void summarize();

    options options_;
    runtime& loop_;
    time_point window_began_{};
    std::uint64_t lines_in_window_ = 0;
    std::uint64_t omitted_ = 0;
    std::uint64_t omitted_before_ = 0;
    std::uint64_t summaries_ = 0;
    scoped_timer summary_timer_;
};

}  // namespace baobabrack::workload

#endif
