#ifndef BAOBABRACK_KEYED_TOPIC_FOLLOWER_HPP
#define BAOBABRACK_KEYED_TOPIC_FOLLOWER_HPP

#include <functional>
#include <memory>
#include <optional>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

/// Keeps up with one keyed topic: first the newest record of each key, then whatever is added, by
/// long polls. Never delivers an offset below one that it has passed, except while it lists all
/// keys again after history was dropped; receivers compare offsets for each key.
class topic_follower {
public:
    struct options {
        topic_id topic;
        /// How long one poll waits for a record; also how old `confirmed` gets when all is well.
        duration poll_wait = std::chrono::milliseconds{800};
        /// Time for an answer beyond the wait; after it the connection is replaced.
        duration answer_timeout = std::chrono::milliseconds{800};
        duration retry_delay = std::chrono::milliseconds{100};
        /// Longest delay between two tries while the store does not answer.
        duration max_retry_delay = std::chrono::milliseconds{300};
    };
    using entry_handler = std::function<void(const keyed_entry&)>;

    topic_follower(runtime& loop, keyed_log& log, options opts);
    topic_follower(const topic_follower&) = delete;
    topic_follower& operator=(const topic_follower&) = delete;
    ~topic_follower();

    /// @param on_entry gets each record
    /// @param on_batch runs after the records of one answer, also if there were none
    void start(entry_handler on_entry, std::function<void()> on_batch);

    /// Stops polling; an answer on its way is dropped.
    void pause();

    /// Polls again from an offset.
    void resume(log_offset from);

    /// @return the offset after the last record that was delivered
    log_offset next_offset() const { return next_; }

    /// @return whether every key has been listed once
    bool caught_up() const { return caught_up_; }

    /// @return the last moment for which nothing is missing here, or nothing before the first
    std::optional<time_point> confirmed() const { return confirmed_; }

    /// @return calls that failed since the last one that did not
    unsigned consecutive_failures() const { return failures_; }

    /// @return how long calls have failed; zero if the last one did not
    duration outage_duration() const {
        return failures_ > 0 ? loop_.now() - failing_since_ : duration::zero();
    }

private:
    void list(const std::string& after);
    void take_list(const result<keyed_page>& page);
    void poll();
    void take_poll(const result<keyed_page>& page, time_point sent);
    void retry(std::function<void()> again);
    void log_recovery();

    runtime& loop_;
    keyed_log& log_;
    options options_;
    entry_handler on_entry_;
    std::function<void()> on_batch_;
    log_offset next_;
    std::optional<log_offset> listed_end_;
    time_point listed_at_{};
    bool caught_up_ = false;
    std::optional<time_point> confirmed_;
    unsigned failures_ = 0;
    time_point failing_since_{};
    // Answers of an earlier round are dropped.
    std::uint64_t round_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    scoped_timer retry_timer_;
};

}  // namespace baobabrack

#endif
