#ifndef BAOBABRACK_OBSERVE_LINE_WRITER_HPP
#define BAOBABRACK_OBSERVE_LINE_WRITER_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace baobabrack {

/// Writes log lines to a file descriptor without blocking on a slow reader, and limits their rate
/// with a token bucket. Lines that are left out are counted; the next line that is written is
/// preceded by a `log-lines-missing` event with their number.
class line_writer {
public:
    using clock = std::chrono::steady_clock;

    struct options {
        int descriptor = 1;
        /// Sustained rate: tokens added per second.
        double lines_per_second = 400;
        /// Capacity of the token bucket: lines that may be written in one burst.
        double burst = 4000;
    };

    /// Lines by outcome.
    struct counts {
        std::uint64_t written = 0;
        /// Not written because the reader did not keep up and the descriptor was not writable.
        std::uint64_t dropped = 0;
        /// Not written because of the rate limit.
        std::uint64_t suppressed = 0;
    };

    explicit line_writer(options opts) : options_(opts), tokens_(opts.burst) {}

    /// @param line without a line feed; truncated to PIPE_BUF bytes, line feed included
    /// @param now  current time, for the rate limit
    void write(std::string_view line, clock::time_point now);

    const counts& totals() const { return counts_; }

private:
    bool consume_token(clock::time_point now);
    bool try_write(const std::string& line) const;

    options options_;
    double tokens_;
    clock::time_point last_refill_{};
    std::uint64_t unreported_ = 0;
    counts counts_;
};

}  // namespace baobabrack

#endif
