#include "baobabrack/observe/line_writer.hpp"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

/// A pipe that closes both ends on destruction.
class pipe_pair {
public:
    pipe_pair() { REQUIRE(pipe(ends_.data()) == 0); }
    pipe_pair(const pipe_pair&) = delete;
    pipe_pair& operator=(const pipe_pair&) = delete;
    ~pipe_pair() {
        close(ends_[0]);
        close(ends_[1]);
    }

    int writer() const { return ends_[1]; }

    std::string read_available() const {
        std::string text(1U << 20U, '\0');
        const auto length = read(ends_[0], text.data(), text.size());
        text.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
        return text;
    }

private:
    std::array<int, 2> ends_{};
};

}  // namespace

TEST_CASE("A stalled reader does not block the writer, and dropped lines are reported", "[log]") {
    const pipe_pair out;
    line_writer writer({.descriptor = out.writer(), .lines_per_second = 1e9, .burst = 1e9});
    const std::string line(1000, 'x');
    const line_writer::clock::time_point now{1s};
    for (int count = 0; count < 1000; ++count) {
        writer.write(line, now);
    }
    CHECK(writer.totals().dropped > 0);
    CHECK(writer.totals().written + writer.totals().dropped == 1000);
    out.read_available();
    writer.write("next", now);
    const auto text = out.read_available();
    CHECK(text.find("\"log-lines-missing\",\"lines\":" + std::to_string(writer.totals().dropped)) !=
          std::string::npos);
    CHECK(text.find("next\n") != std::string::npos);
}

TEST_CASE("Lines beyond the rate limit are suppressed and counted", "[log]") {
    const pipe_pair out;
    line_writer writer({.descriptor = out.writer(), .lines_per_second = 10, .burst = 5});
    line_writer::clock::time_point now{100s};
    for (int count = 0; count < 20; ++count) {
        writer.write("line", now);
    }
    CHECK(writer.totals().written == 5);
    CHECK(writer.totals().suppressed == 15);
    now += 1s;
    writer.write("line", now);
    CHECK(writer.totals().written == 6);
    CHECK(out.read_available().find("\"lines\":15") != std::string::npos);
}

TEST_CASE("A line longer than PIPE_BUF is truncated", "[log]") {
    const pipe_pair out;
    line_writer writer({.descriptor = out.writer()});
    writer.write(std::string(100'000, 'y'), line_writer::clock::time_point{1s});
    const auto text = out.read_available();
    CHECK(text.size() <= 4096);
    CHECK(text.back() == '\n');
}
