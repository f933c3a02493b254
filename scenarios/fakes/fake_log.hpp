#ifndef BAOBABRACK_FAKES_FAKE_LOG_HPP
#define BAOBABRACK_FAKES_FAKE_LOG_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <utility>

#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/services/log_service.hpp"

namespace baobabrack::fakes {

/// The platform's log in virtual time, with fault injection.
class fake_log : public log_service {
public:
    struct options {
        /// One-way delay between caller and log.
        duration delay = std::chrono::microseconds{500};
        /// How long a read at the end of the log waits for an entry.
        duration read_wait = std::chrono::seconds{1};
        /// How long a caller waits for an answer before it reports `timed_out`.
        duration timeout = std::chrono::seconds{2};
        /// Number of entries to keep; zero keeps all.
        std::uint64_t retention = 0;
        /// Maximum number of appends per second of virtual time; zero means no limit.
        std::uint64_t append_limit = 0;
    };

    fake_log(runtime& loop, options opts) : loop_(loop), options_(opts) {}

    void append(std::string payload, append_callback done) override;
    void read(log_offset from, std::size_t max_entries, read_callback done) override;

    /// While down, the log stores nothing and every call fails as `unavailable`.
    void set_down(bool down) { down_ = down; }

    /// Adds a delay to each direction of every call; a call that exceeds the timeout loses its
    /// answer.
    void set_extra_delay(duration extra_delay) { extra_delay_ = extra_delay; }

    /// Loses the answers to the next `count` appends, which are stored nevertheless.
    void lose_append_answers(std::uint64_t count) { lost_answers_ = count; }

    /// Drops the oldest entries until at most `count` are left.
    void keep_last(std::uint64_t count);

    /// Sets the function to call with every entry that is stored.
    void on_append(std::function<void(log_offset, const std::string&)> listener) {
        append_listener_ = std::move(listener);
    }

    /// Appends an entry immediately, without delay, limit or faults, as another program would.
    void put(std::string payload);

    /// @return the offset after the newest entry, which is the number of entries ever appended
    std::uint64_t end() const { return oldest_ + entries_.size(); }
    std::uint64_t oldest() const { return oldest_; }

    /// @return the payload of an entry; the entry must still be kept
    const std::string& payload(log_offset offset) const;

private:
    struct waiting_read {
        std::uint64_t id = 0;
        log_offset from;
        std::size_t max_entries = 0;
        read_callback done;
    };

    duration one_way_delay() const { return options_.delay + extra_delay_; }
    void handle_append(std::string payload, const append_callback& done, time_point sent_at);
    void handle_read(log_offset from, std::size_t max_entries, read_callback done,
                     time_point sent_at);
    void answer_read(log_offset from, std::size_t max_entries, read_callback done);
    void wake_readers();
    bool exceeds_append_limit();
    template <typename Callback, typename Answer>
    void answer_later(Callback done, Answer answer, duration delay);

    runtime& loop_;
    options options_;
    std::deque<std::string> entries_;
    std::uint64_t oldest_ = 0;
    std::list<waiting_read> readers_;
    std::uint64_t next_reader_ = 1;
    bool down_ = false;
    duration extra_delay_{};
    std::uint64_t lost_answers_ = 0;
    time_point limit_window_start_{};
    std::uint64_t appends_in_window_ = 0;
    std::function<void(log_offset, const std::string&)> append_listener_;
};

}  // namespace baobabrack::fakes

#endif
