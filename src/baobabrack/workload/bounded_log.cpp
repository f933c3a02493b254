#include "baobabrack/workload/bounded_log.hpp"

#include <utility>

#include "baobabrack/observe/json_log.hpp"

namespace baobabrack::workload {

namespace {

constexpr duration window = std::chrono::seconds{1};

}  // namespace

bounded_log::bounded_log(runtime& loop, options opts)
    : options_(std::move(opts)), loop_(loop), summary_timer_(loop) {
}

bool bounded_log::allow() {
    const auto now = loop_.now();
    if (lines_in_window_ == 0 || now - window_began_ >= window) {
        window_began_ = now;
        lines_in_window_ = 0;
    }
    if (lines_in_window_ < options_.lines_per_second) {
        ++lines_in_window_;
        return true;
    }
    ++omitted_;
    if (!summary_timer_.armed()) {
        summary_timer_.arm(window, [this] { summarize(); });
    }
    return false;
}

void bounded_log::summarize() {
    ++summaries_;
    log_event(log_level::warning, "log-lines-omitted")
        .field("topic", options_.topic)
        .field("lines", omitted_ - std::exchange(omitted_before_, omitted_));
}

}  // namespace baobabrack::workload
