#include "baobabrack/observe/line_writer.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace baobabrack {

namespace {

// A writable pipe accepts up to PIPE_BUF bytes at once without blocking.
constexpr std::size_t max_line_bytes = PIPE_BUF;

}  // namespace

void line_writer::write(std::string_view line, clock::time_point now) {
    if (!consume_token(now)) {
        ++counts_.suppressed;
        ++unreported_;
        return;
    }
    if (unreported_ > 0) {
        const auto notice = "{\"level\":\"warning\",\"event\":\"log-lines-missing\",\"lines\":" +
                            std::to_string(unreported_) + "}\n";
        if (!try_write(notice)) {
            ++counts_.dropped;
            ++unreported_;
            return;
        }
        unreported_ = 0;
    }
    std::string text{line.substr(0, max_line_bytes - 1)};
    text += '\n';
    if (try_write(text)) {
        ++counts_.written;
    } else {
        ++counts_.dropped;
        ++unreported_;
    }
}

bool line_writer::consume_token(clock::time_point now) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    tokens_ = std::min(options_.burst, tokens_ + elapsed.count() * options_.lines_per_second);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

bool line_writer::try_write(const std::string& line) const {
    pollfd out{.fd = options_.descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(options_.descriptor, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
}

}  // namespace baobabrack
