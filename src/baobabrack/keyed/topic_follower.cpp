#include "baobabrack/keyed/topic_follower.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "baobabrack/observe/json_log.hpp"

namespace baobabrack {

topic_follower::topic_follower(runtime& loop, keyed_log& log, options opts)
    : loop_(loop), log_(log), options_(std::move(opts)), retry_timer_(loop) {
}

topic_follower::~topic_follower() = default;

void topic_follower::start(entry_handler on_entry, std::function<void()> on_batch) {
    on_entry_ = std::move(on_entry);
    on_batch_ = std::move(on_batch);
    list_keys("");
}

void topic_follower::pause() {
    ++generation_;
    retry_timer_.cancel();
}

void topic_follower::resume(log_offset from) {
    pause();
    next_offset_ = std::max(next_offset_, from);
    poll();
}

void topic_follower::deliver(const keyed_entry& entry) {
    if (options_.track_keys) {
        if (entry.record.value.empty()) {
            present_keys_.erase(entry.record.key);
        } else {
            present_keys_.insert(entry.record.key);
        }
    }
    on_entry_(entry);
}

// A key that is missing from a complete listing has been deleted. If it has been written again
// since its page was read, that record is at or after the lowest end offset, where polling starts.
void topic_follower::deliver_deletions() {
    std::vector<std::string> deleted;
    std::set_difference(present_keys_.begin(), present_keys_.end(), listed_keys_.begin(),
                        listed_keys_.end(), std::back_inserter(deleted));
    const log_offset offset{std::max(listed_end_->get(), std::uint64_t{1}) - 1};
    for (const auto& key : deleted) {
        deliver({.offset = offset, .record = {.key = key, .value = ""}});
    }
    listed_keys_.clear();
}

void topic_follower::list_keys(const std::string& after) {
    if (after.empty()) {
        listed_end_.reset();
        listed_keys_.clear();
        list_started_at_ = loop_.now();
    }
    log_.list_newest(options_.topic, after, options_.answer_timeout,
                     [this, generation = generation_,
                      alive = std::weak_ptr<bool>(alive_)](const result<keyed_page>& page) {
                         if (!alive.expired() && generation == generation_) {
                             handle_list_page(page);
                         }
                     });
}

void topic_follower::handle_list_page(const result<keyed_page>& page) {
    if (!page) {
        retry([this] { list_keys(""); });
        return;
    }
    log_recovery();
    for (const auto& entry : page.value().entries) {
        if (options_.track_keys) {
            listed_keys_.insert(entry.record.key);
        }
        deliver(entry);
    }
    // Pages are read at different times, so polling starts at the lowest end offset.
    listed_end_ = listed_end_ ? std::min(*listed_end_, page.value().end) : page.value().end;
    if (page.value().has_more && !page.value().entries.empty()) {
        list_keys(page.value().entries.back().record.key);
        return;
    }
    if (options_.track_keys && *listed_end_ < next_offset_) {
        // A stale listing may lack keys that have been delivered.
        retry_timer_.arm(options_.retry_delay, [this] { list_keys(""); });
        return;
    }
    deliver_deletions();
    next_offset_ = std::max(next_offset_, *listed_end_);
    caught_up_ = true;
    confirmed_ = std::max(confirmed_.value_or(list_started_at_), list_started_at_);
    on_batch_();
    poll();
}

void topic_follower::poll() {
    const auto sent_at = loop_.now();
    log_.read(options_.topic, next_offset_, options_.poll_wait, options_.answer_timeout,
              [this, sent_at, generation = generation_,
               alive = std::weak_ptr<bool>(alive_)](const result<keyed_page>& page) {
                  if (!alive.expired() && generation == generation_) {
                      handle_poll_reply(page, sent_at);
                  }
              });
}

void topic_follower::handle_poll_reply(const result<keyed_page>& page, time_point sent_at) {
    if (!page && page.error().kind == failure_kind::expired) {
        log_event(log_level::warning, "history-dropped")
            .field("topic", options_.topic.get())
            .field("next_offset", next_offset_.get());
        list_keys("");
        return;
    }
    if (!page) {
        retry([this] { poll(); });
        return;
    }
    log_recovery();
    bool delivered = false;
    for (const auto& entry : page.value().entries) {
        if (entry.offset >= next_offset_) {
            next_offset_ = log_offset{entry.offset.get() + 1};
            deliver(entry);
            delivered = true;
        }
    }
    // A reply with a lower end offset than already seen is stale and confirms nothing. A reply
    // without new records is valid as of the end of its wait.
    const bool reached_end = !options_.track_keys || page.value().end == next_offset_;
    if (page.value().end >= next_offset_ && reached_end) {
        const auto waited = std::min(loop_.now() - sent_at, options_.poll_wait);
        const auto as_of = delivered ? sent_at : sent_at + waited;
        confirmed_ = std::max(confirmed_.value_or(as_of), as_of);
    }
    on_batch_();
    const bool waited_for_records = delivered || loop_.now() - sent_at >= options_.poll_wait / 2;
    const auto pause = waited_for_records ? sent_at + options_.min_poll_interval - loop_.now()
                                          : options_.retry_delay;
    if (pause > duration::zero()) {
        retry_timer_.arm(pause, [this] { poll(); });
    } else {
        poll();
    }
}

void topic_follower::retry(std::function<void()> operation) {
    if (consecutive_failures_ == 0) {
        outage_start_ = loop_.now();
        log_event(log_level::warning, "store-lost").field("topic", options_.topic.get());
    }
    ++consecutive_failures_;
    const auto delay =
        std::min(options_.retry_delay * (std::int64_t{1} << std::min(consecutive_failures_, 4U)),
                 options_.max_retry_delay);
    retry_timer_.arm(delay, std::move(operation));
}

void topic_follower::log_recovery() {
    if (std::exchange(consecutive_failures_, 0U) == 0) {
        return;
    }
    const auto outage =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - outage_start_);
    log_event(log_level::info, "store-regained")
        .field("topic", options_.topic.get())
        .field("gone_ms", static_cast<std::int64_t>(outage.count()));
}

}  // namespace baobabrack
