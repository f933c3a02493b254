#include "baobabrack/keyed/topic_follower.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/observe/json_log.hpp"

namespace baobabrack {

topic_follower::topic_follower(runtime& loop, keyed_log& log, options opts)
    : loop_(loop), log_(log), options_(std::move(opts)), retry_timer_(loop) {
}

topic_follower::~topic_follower() = default;

void topic_follower::start(entry_handler on_entry, std::function<void()> on_batch) {
    on_entry_ = std::move(on_entry);
    on_batch_ = std::move(on_batch);
    list("");
}

void topic_follower::pause() {
    ++round_;
    retry_timer_.cancel();
}

void topic_follower::resume(log_offset from) {
    pause();
    next_ = std::max(next_, from);
    poll();
}

void topic_follower::list(const std::string& after) {
    if (after.empty()) {
        listed_end_.reset();
        listed_at_ = loop_.now();
    }
    log_.list_newest(options_.topic, after, options_.answer_timeout,
                     [this, round = round_,
                      alive = std::weak_ptr<bool>(alive_)](const result<keyed_page>& page) {
                         if (!alive.expired() && round == round_) {
                             take_list(page);
                         }
                     });
}

void topic_follower::take_list(const result<keyed_page>& page) {
    if (!page) {
        retry([this] { list(""); });
        return;
    }
    log_recovery();
    for (const auto& entry : page.value().entries) {
        on_entry_(entry);
    }
    // Pages are taken at different moments, so the tail begins at the earliest end.
    listed_end_ = listed_end_ ? std::min(*listed_end_, page.value().end) : page.value().end;
    if (page.value().has_more && !page.value().entries.empty()) {
        list(page.value().entries.back().record.key);
        return;
    }
    next_ = std::max(next_, *listed_end_);
    caught_up_ = true;
    confirmed_ = std::max(confirmed_.value_or(listed_at_), listed_at_);
    on_batch_();
    poll();
}

void topic_follower::poll() {
    const auto sent = loop_.now();
    log_.read(options_.topic, next_, options_.poll_wait, options_.answer_timeout,
              [this, sent, round = round_,
               alive = std::weak_ptr<bool>(alive_)](const result<keyed_page>& page) {
                  if (!alive.expired() && round == round_) {
                      take_poll(page, sent);
                  }
              });
}

void topic_follower::take_poll(const result<keyed_page>& page, time_point sent) {
    if (!page && page.error().kind == failure_kind::expired) {
        log_event(log_level::warning, "history-dropped")
            .field("topic", options_.topic.get())
            .field("next_offset", next_.get());
        list("");
        return;
    }
    if (!page) {
        retry([this] { poll(); });
        return;
    }
    log_recovery();
    bool moved = false;
    for (const auto& entry : page.value().entries) {
        if (entry.offset >= next_) {
            next_ = log_offset{entry.offset.get() + 1};
            on_entry_(entry);
            moved = true;
        }
    }
    // An answer that says less than was seen before is out of date and confirms nothing. One that
    // waited in vain speaks of the moment its wait was over.
    if (page.value().end >= next_) {
        const auto waited = std::min(loop_.now() - sent, options_.poll_wait);
        const auto as_of = moved ? sent : sent + waited;
        confirmed_ = std::max(confirmed_.value_or(as_of), as_of);
    }
    on_batch_();
    if (moved || loop_.now() - sent >= options_.poll_wait / 2) {
        poll();
    } else {
        retry_timer_.arm(options_.retry_delay, [this] { poll(); });
    }
}

void topic_follower::retry(std::function<void()> again) {
    if (failures_ == 0) {
        failing_since_ = loop_.now();
        log_event(log_level::warning, "store-lost").field("topic", options_.topic.get());
    }
    ++failures_;
    const auto delay = std::min(options_.retry_delay * (std::int64_t{1} << std::min(failures_, 4U)),
                                options_.max_retry_delay);
    retry_timer_.arm(delay, std::move(again));
}

void topic_follower::log_recovery() {
    if (std::exchange(failures_, 0U) == 0) {
        return;
    }
    const auto gone =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - failing_since_);
    log_event(log_level::info, "store-regained")
        .field("topic", options_.topic.get())
        .field("gone_ms", static_cast<std::int64_t>(gone.count()));
}

}  // namespace baobabrack
