#ifndef BAOBABRACK_OBSERVE_LINE_WRITER_HPP
#define BAOBABRACK_OBSERVE_LINE_WRITER_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace baobabrack {

/// Writes lines to a descriptor without ever waiting for its reader, and no more of them than a
/// limit. What is left out is counted and said so in a line of its own.
class line_writer {
public:
    using clock = std::chrono::steady_clock;

    struct options {
        int descriptor = 1;
        /// Lines a second over a longer time.
        double lines_per_second = 400;
        /// Lines that may come at once.
        double burst = 4000;
    };

    /// What became of the lines.
    struct counts {
        std::uint64_t written = 0;
        /// The reader did not keep up.
        std::uint64_t dropped = 0;
        /// Beyond the limit.
        std::uint64_t suppressed = 0;
    };

    explicit line_writer(options opts) : options_(opts), allowance_(opts.burst) {}

    /// @param line without its end; a line longer than a pipe takes at once is cut
    /// @param now  for the limit
    void write(std::string_view line, clock::time_point now);

    const counts& totals() const { return counts_; }

private:
    bool allowed(clock::time_point now);
    bool write_now(const std::string& line) const;

    options options_;
    double allowance_;
    clock::time_point refilled_{};
    std::uint64_t missing_ = 0;
    counts counts_;
};

}  // namespace baobabrack

#endif
