#include "fakes/fake_log.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace baobabrack::fakes {

namespace {

using namespace std::chrono_literals;

failure log_unavailable() {
    return {failure_kind::unavailable, "the log is down", "wait until it is back"};
}

failure answer_timed_out() {
    return {failure_kind::timed_out, "the log did not answer in time", "read the log's tail"};
}

failure too_many_appends() {
    return {failure_kind::exhausted, "the log's append limit is reached", "append less often"};
}

failure offset_expired() {
    return {failure_kind::expired, "the offset is no longer kept", "start from a snapshot"};
}

}  // namespace

template <typename Callback, typename Answer>
void fake_log::answer_later(Callback done, Answer answer, duration delay) {
    loop_.schedule(delay, [done = std::move(done), answer = std::move(answer)] { done(answer); });
}

void fake_log::append(std::string payload, append_callback done) {
    const auto sent_at = loop_.now();
    loop_.schedule(one_way_delay(),
                   [this, sent_at, payload = std::move(payload), done = std::move(done)] {
                       handle_append(payload, done, sent_at);
                   });
}

void fake_log::handle_append(std::string payload, const append_callback& done, time_point sent_at) {
    if (down_) {
        answer_later(done, result<log_offset>{log_unavailable()}, one_way_delay());
        return;
    }
    if (exceeds_append_limit()) {
        answer_later(done, result<log_offset>{too_many_appends()}, one_way_delay());
        return;
    }
    const log_offset offset{end()};
    put(std::move(payload));
    const auto limit = sent_at + options_.timeout - loop_.now();
    if (lost_answers_ > 0 || one_way_delay() > limit) {
        lost_answers_ -= lost_answers_ > 0 ? 1 : 0;
        answer_later(done, result<log_offset>{answer_timed_out()}, limit);
        return;
    }
    answer_later(done, result<log_offset>{offset}, one_way_delay());
}

void fake_log::put(std::string payload) {
    const log_offset offset{end()};
    entries_.push_back(std::move(payload));
    if (append_listener_) {
        append_listener_(offset, entries_.back());
    }
    if (options_.retention > 0) {
        keep_last(options_.retention);
    }
    wake_readers();
}

bool fake_log::exceeds_append_limit() {
    if (options_.append_limit == 0) {
        return false;
    }
    if (loop_.now() - limit_window_start_ >= 1s) {
        limit_window_start_ = loop_.now();
        appends_in_window_ = 0;
    }
    return ++appends_in_window_ > options_.append_limit;
}

void fake_log::read(log_offset from, std::size_t max_entries, read_callback done) {
    const auto sent_at = loop_.now();
    loop_.schedule(one_way_delay(),
                   [this, sent_at, from, max_entries, done = std::move(done)]() mutable {
                       handle_read(from, max_entries, std::move(done), sent_at);
                   });
}

void fake_log::handle_read(log_offset from, std::size_t max_entries, read_callback done,
                           time_point sent_at) {
    const auto limit = sent_at + options_.timeout - loop_.now();
    if (down_) {
        answer_later(std::move(done), result<log_page>{log_unavailable()}, one_way_delay());
        return;
    }
    if (one_way_delay() > limit) {
        answer_later(std::move(done), result<log_page>{answer_timed_out()}, limit);
        return;
    }
    if (from.get() != end() || options_.read_wait <= duration::zero()) {
        answer_read(from, max_entries, std::move(done));
        return;
    }
    const auto id = next_reader_++;
    readers_.push_back({id, from, max_entries, std::move(done)});
    loop_.schedule(options_.read_wait, [this, id] {
        const auto found = std::find_if(readers_.begin(), readers_.end(),
                                        [&](const auto& reader) { return reader.id == id; });
        if (found == readers_.end()) {
            return;
        }
        auto reader = std::move(*found);
        readers_.erase(found);
        answer_read(reader.from, reader.max_entries, std::move(reader.done));
    });
}

void fake_log::answer_read(log_offset from, std::size_t max_entries, read_callback done) {
    if (down_) {
        answer_later(std::move(done), result<log_page>{log_unavailable()}, one_way_delay());
        return;
    }
    if (from.get() < oldest_) {
        answer_later(std::move(done), result<log_page>{offset_expired()}, one_way_delay());
        return;
    }
    log_page page{.oldest = log_offset{oldest_}, .end = log_offset{end()}};
    for (auto offset = from.get(); offset < end() && page.entries.size() < max_entries; ++offset) {
        page.entries.push_back({log_offset{offset}, entries_[offset - oldest_]});
    }
    answer_later(std::move(done), result<log_page>{std::move(page)}, one_way_delay());
}

void fake_log::wake_readers() {
    auto waiting_readers = std::move(readers_);
    readers_.clear();
    for (auto& reader : waiting_readers) {
        answer_read(reader.from, reader.max_entries, std::move(reader.done));
    }
}

void fake_log::keep_last(std::uint64_t count) {
    while (entries_.size() > count) {
        entries_.pop_front();
        ++oldest_;
    }
}

const std::string& fake_log::payload(log_offset offset) const {
    return entries_.at(offset.get() - oldest_);
}

}  // namespace baobabrack::fakes
