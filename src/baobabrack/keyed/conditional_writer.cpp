#include "baobabrack/keyed/conditional_writer.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/keyed/record_sizes.hpp"
#include "baobabrack/observe/json_log.hpp"

namespace baobabrack {

conditional_writer::conditional_writer(runtime& loop, keyed_log& log, options opts)
    : loop_(loop), log_(log), options_(std::move(opts)), retry_timer_(loop) {
}

conditional_writer::~conditional_writer() = default;

void conditional_writer::reset(log_offset end) {
    ++generation_;
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
    attempts_ = 0;
    if (!fits(log_.limits(), records_)) {
        log_rejection("the batch is larger than the store's limits");
        retry_timer_.arm(duration::zero(), [this] { finish(outcome::rejected); });
        return;
    }
    send();
}

void conditional_writer::log_rejection(const std::string& reason) const {
    const auto largest = std::max_element(records_.begin(), records_.end(),
                                          [](const keyed_record& left, const keyed_record& right) {
                                              return framed_size(left) < framed_size(right);
                                          });
    log_event event(log_level::error, "append-rejected");
    event.field("topic", options_.topic.get())
        .field("reason", reason)
        .field("records", static_cast<std::uint64_t>(records_.size()))
        .field("bytes", static_cast<std::uint64_t>(framed_size(records_)));
    if (largest != records_.end()) {
        event.field("largest_key", largest->key)
            .field("largest_bytes", static_cast<std::uint64_t>(framed_size(*largest)));
    }
}

void conditional_writer::send() {
    ++attempts_;
    const auto sent_at = loop_.now();
    log_.append({.topic = options_.topic,
                 .records = records_,
                 .expected_end = end_,
                 .timeout = options_.append_timeout},
                [this, sent_at, generation = generation_,
                 alive = std::weak_ptr<bool>(alive_)](const result<append_reply>& reply) {
                    if (!alive.expired() && generation == generation_) {
                        handle_reply(reply, sent_at);
                    }
                });
}

void conditional_writer::handle_reply(const result<append_reply>& reply, time_point sent_at) {
    if (!reply && reply.error().kind == failure_kind::invalid) {
        // An earlier attempt with the same records would have been refused as well.
        log_rejection(reply.error().message);
        finish(outcome::rejected);
        return;
    }
    if (!reply) {
        if (attempts_ == 1) {
            log_event(log_level::warning, "append-unanswered")
                .field("topic", options_.topic.get())
                .field("expected_end", end_.get())
                .field("reason", to_string(reply.error().kind))
                .field("detail", reply.error().message)
                .field("records", static_cast<std::uint64_t>(records_.size()))
                .field("bytes", static_cast<std::uint64_t>(framed_size(records_)));
        }
        retry([this] { send(); });
        return;
    }
    if (reply.value().stored) {
        last_confirmed_ = sent_at;
        end_ = reply.value().end;
        finish(outcome::stored);
        return;
    }
    if (attempts_ == 1) {
        // The first attempt cannot conflict with a copy of this batch, so another writer is active.
        finish(outcome::superseded);
        return;
    }
    read_back();
}

void conditional_writer::read_back() {
    log_.read(options_.topic, end_, options_.append_timeout, options_.append_timeout,
              [this, generation = generation_,
               alive = std::weak_ptr<bool>(alive_)](const result<keyed_page>& page) {
                  if (!alive.expired() && generation == generation_) {
                      handle_page(page);
                  }
              });
}

void conditional_writer::handle_page(const result<keyed_page>& page) {
    if (!page && page.error().kind == failure_kind::expired) {
        finish(outcome::superseded);
        return;
    }
    if (!page || page.value().entries.size() < records_.size()) {
        // A read may lag behind the conflicting append. A first record that differs is enough
        // to detect another writer.
        if (page && !page.value().entries.empty() &&
            page.value().entries.front().record != records_.front()) {
            finish(outcome::superseded);
            return;
        }
        retry([this] { read_back(); });
        return;
    }
    const auto& entries = page.value().entries;
    const bool is_own_batch = std::equal(records_.begin(), records_.end(), entries.begin(),
                                         [](const keyed_record& record, const keyed_entry& entry) {
                                             return record == entry.record;
                                         });
    if (is_own_batch) {
        end_ = log_offset{end_.get() + records_.size()};
    }
    finish(is_own_batch ? outcome::stored : outcome::superseded);
}

void conditional_writer::retry(std::function<void()> operation) {
    ++retries_;
    const auto delay = std::min(options_.retry_delay * (std::int64_t{1} << std::min(attempts_, 3U)),
                                options_.max_retry_delay);
    retry_timer_.arm(delay, std::move(operation));
}

void conditional_writer::finish(outcome batch_outcome) {
    busy_ = false;
    records_.clear();
    const auto done = std::exchange(done_, nullptr);
    done(batch_outcome);
}

}  // namespace baobabrack
