#include "fakes/fake_log_link.hpp"

#include <utility>

namespace baobabrack::fakes {

namespace {

/// @return a callback that calls `done` after the delay of the return path
template <typename Callback, typename Answer>
Callback delayed(runtime& loop, duration extra_delay, Callback done) {
    return [&loop, extra_delay, done = std::move(done)](Answer answer) {
        loop.schedule(extra_delay, [done, answer = std::move(answer)] { done(answer); });
    };
}

}  // namespace

void fake_log_link::append(std::string payload, append_callback done) {
    auto delayed_done =
        delayed<append_callback, result<log_offset>>(loop_, extra_delay_, std::move(done));
    loop_.schedule(extra_delay_, [&log = log_, payload = std::move(payload), delayed_done] {
        log.append(payload, delayed_done);
    });
}

void fake_log_link::read(log_offset from, std::size_t max_entries, read_callback done) {
    auto delayed_done =
        delayed<read_callback, result<log_page>>(loop_, extra_delay_, std::move(done));
    loop_.schedule(extra_delay_, [&log = log_, from, max_entries, delayed_done] {
        log.read(from, max_entries, delayed_done);
    });
}

}  // namespace baobabrack::fakes
