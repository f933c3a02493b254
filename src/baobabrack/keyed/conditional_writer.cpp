#include "baobabrack/keyed/conditional_writer.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/observe/json_log.hpp"

namespace baobabrack {

conditional_writer::conditional_writer(runtime& loop, keyed_log& log, options opts)
    : loop_(loop), log_(log), options_(std::move(opts)), retry_timer_(loop) {
}

conditional_writer::~conditional_writer() = default;

void conditional_writer::reset(log_offset end) {
    ++round_;
    retry_timer_.cancel();
    busy_ = false;
    records_.clear();
    done_ = nullptr;
    end_ = end;
}

void conditional_writer::write(std::vector<keyed_record> records, done_handler done) {
    records_ = std::move(records);
    done_ = std::move(done);
    busy_ = true;
    tries_ = 0;
    send();
}

void conditional_writer::send() {
    ++tries_;
    const auto sent = loop_.now();
    log_.append({.topic = options_.topic,
                 .records = records_,
                 .expected_end = end_,
                 .timeout = options_.append_timeout},
                [this, sent, round = round_,
                 alive = std::weak_ptr<bool>(alive_)](const result<append_reply>& reply) {
                    if (!alive.expired() && round == round_) {
                        take_reply(reply, sent);
                    }
                });
}

void conditional_writer::take_reply(const result<append_reply>& reply, time_point sent) {
    if (!reply) {
        if (tries_ == 1) {
            log_event(log_level::warning, "append-unanswered")
                .field("topic", options_.topic.get())
                .field("expected_end", end_.get())
                .field("reason", to_string(reply.error().kind));
        }
        retry([this] { send(); });
        return;
    }
    if (reply.value().stored) {
        proved_ = sent;
        end_ = reply.value().end;
        finish(outcome::stored);
        return;
    }
    if (tries_ == 1) {
        // Nothing of this batch was sent before, so the records there are another writer's.
        finish(outcome::superseded);
        return;
    }
    compare();
}

void conditional_writer::compare() {
    log_.read(options_.topic, end_, options_.append_timeout, options_.append_timeout,
              [this, round = round_,
               alive = std::weak_ptr<bool>(alive_)](const result<keyed_page>& page) {
                  if (!alive.expired() && round == round_) {
                      take_page(page);
                  }
              });
}

void conditional_writer::take_page(const result<keyed_page>& page) {
    if (!page && page.error().kind == failure_kind::expired) {
        finish(outcome::superseded);
        return;
    }
    if (!page || page.value().entries.size() < records_.size()) {
        // A read may lag behind the append that ended in a conflict, but a page that holds a
        // record of another writer already tells.
        if (page && !page.value().entries.empty() &&
            page.value().entries.front().record != records_.front()) {
            finish(outcome::superseded);
            return;
        }
        retry([this] { compare(); });
        return;
    }
    const auto& entries = page.value().entries;
    const bool own = std::equal(records_.begin(), records_.end(), entries.begin(),
                                [](const keyed_record& record, const keyed_entry& entry) {
                                    return record == entry.record;
                                });
    if (own) {
        end_ = log_offset{end_.get() + records_.size()};
    }
    finish(own ? outcome::stored : outcome::superseded);
}

void conditional_writer::retry(std::function<void()> again) {
    ++retries_;
    const auto delay = std::min(options_.retry_delay * (std::int64_t{1} << std::min(tries_, 3U)),
                                options_.max_retry_delay);
    retry_timer_.arm(delay, std::move(again));
}

void conditional_writer::finish(outcome how) {
    busy_ = false;
    records_.clear();
    const auto done = std::exchange(done_, nullptr);
    done(how);
}

}  // namespace baobabrack
