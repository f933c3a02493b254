#include "baobabrack/observe/line_writer.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace baobabrack {

namespace {

// A pipe that is writable takes this much without blocking.
constexpr std::size_t most_bytes = PIPE_BUF;

}  // namespace

void line_writer::write(std::string_view line, clock::time_point now) {
    if (!allowed(now)) {
        ++counts_.suppressed;
        ++missing_;
        return;
    }
    if (missing_ > 0) {
        const auto notice = "{\"level\":\"warning\",\"event\":\"log-lines-missing\",\"lines\":" +
                            std::to_string(missing_) + "}\n";
        if (!write_now(notice)) {
            ++counts_.dropped;
            ++missing_;
            return;
        }
        missing_ = 0;
    }
    std::string text{line.substr(0, most_bytes - 1)};
    text += '\n';
    if (write_now(text)) {
        ++counts_.written;
    } else {
        ++counts_.dropped;
        ++missing_;
    }
}

bool line_writer::allowed(clock::time_point now) {
    const std::chrono::duration<double> passed = now - refilled_;
    refilled_ = now;
    allowance_ = std::min(options_.burst, allowance_ + passed.count() * options_.lines_per_second);
    if (allowance_ < 1) {
        return false;
    }
    allowance_ -= 1;
    return true;
}

bool line_writer::write_now(const std::string& line) const {
    pollfd out{.fd = options_.descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(options_.descriptor, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
}

}  // namespace baobabrack
