#ifndef BAOBABRACK_KEYED_TOPIC_FOLLOWER_HPP
#define BAOBABRACK_KEYED_TOPIC_FOLLOWER_HPP

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

/// Follows one keyed topic: delivers the newest record of each key, then new records by long
/// polling. Offsets below `next_offset` are delivered only while all keys are read anew after the
/// store dropped history, so receivers must compare offsets for each key.
class topic_follower {
public:
    struct options {
        topic_id topic;
        /// How long one poll waits for a record. Also the usual maximum age of `confirmed`.
        duration poll_wait = std::chrono::milliseconds{800};
        /// Time for a reply in addition to the wait; on expiry the connection is replaced.
        duration answer_timeout = std::chrono::milliseconds{800};
        duration retry_delay = std::chrono::milliseconds{100};
        /// Minimum time between the starts of two polls. Records that arrive meanwhile share one
        /// reply, which saves calls where many processes follow a topic that changes often.
        duration min_poll_interval{};
        /// Maximum delay between attempts while the store does not reply.
        duration max_retry_delay = std::chrono::milliseconds{300};
        /// Whether the receiver relies on which keys exist. Then a key that is missing when all
        /// keys are read anew is delivered as a record without a value, since the record that
        /// deleted it may have been dropped, and `confirmed` advances only at the topic's end.
        /// Costs the memory of all keys.
        bool track_keys = false;
    };
    using entry_handler = std::function<void(const keyed_entry&)>;

    topic_follower(runtime& loop, keyed_log& log, options opts);
    topic_follower(const topic_follower&) = delete;
    topic_follower& operator=(const topic_follower&) = delete;
    ~topic_follower();

    /// @param on_entry called for each record
    /// @param on_batch called after all keys were read and after each poll reply, also if empty
    void start(entry_handler on_entry, std::function<void()> on_batch);

    /// Stops polling and discards the reply in flight.
    void pause();

    /// Resumes polling from the given offset, or from `next_offset` if that is higher.
    void resume(log_offset from);

    /// Changes the minimum time between the starts of two polls, from the next poll on.
    void set_min_poll_interval(duration interval) { options_.min_poll_interval = interval; }

    /// @return the offset at which the next poll starts
    log_offset next_offset() const { return next_offset_; }

    /// @return whether all keys have been read once
    bool caught_up() const { return caught_up_; }

    /// @return the latest time up to which no record is missing; empty before `caught_up`
    std::optional<time_point> confirmed() const { return confirmed_; }

    /// @return the number of failed calls since the last successful one
    unsigned consecutive_failures() const { return consecutive_failures_; }

    /// @return how long calls have been failing; zero if the last one succeeded
    duration outage_duration() const {
        return consecutive_failures_ > 0 ? loop_.now() - outage_start_ : duration::zero();
    }

private:
    void deliver(const keyed_entry& entry);
    void deliver_deletions();
    void list_keys(const std::string& after);
    void handle_list_page(const result<keyed_page>& page);
    void poll();
    void handle_poll_reply(const result<keyed_page>& page, time_point sent_at);
    void retry(std::function<void()> operation);
    void log_recovery();

    runtime& loop_;
    keyed_log& log_;
    options options_;
    entry_handler on_entry_;
    std::function<void()> on_batch_;
    log_offset next_offset_;
    std::optional<log_offset> listed_end_;
    // With `track_keys`: the keys that exist as far as delivered, and those of the current listing.
    std::set<std::string> present_keys_;
    std::set<std::string> listed_keys_;
    time_point list_started_at_{};
    bool caught_up_ = false;
    std::optional<time_point> confirmed_;
    unsigned consecutive_failures_ = 0;
    time_point outage_start_{};
    // Replies to calls of an earlier generation are discarded.
    std::uint64_t generation_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    scoped_timer retry_timer_;
};

}  // namespace baobabrack

#endif
