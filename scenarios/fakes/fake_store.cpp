#include "fakes/fake_store.hpp"

#include <algorithm>

#include "baobabrack/keyed/record_sizes.hpp"

namespace baobabrack::fakes {

namespace {

using namespace std::chrono_literals;

constexpr duration poll_interval = 5ms;
constexpr std::uint64_t max_late_ms = 5000;
constexpr double chance_scale = 1e6;

const failure unavailable{failure_kind::unavailable, "the store refuses", "try again"};
const failure too_large{failure_kind::invalid, "the records are too large", "make them smaller"};
const failure timed_out{failure_kind::timed_out, "the store is silent", "read what is stored"};

}  // namespace

void fake_store::expire_history() {
    for (auto& [id, stored] : topics_) {
        stored.first = stored.records.size();
    }
}

append_reply fake_store::append(const keyed_append& request) {
    auto& records = topics_[request.topic].records;
    const log_offset end{records.size()};
    if (request.expected_end && *request.expected_end != end) {
        return {.stored = false, .first = {}, .end = end};
    }
    records.insert(records.end(), request.records.begin(), request.records.end());
    return {.stored = true, .first = end, .end = log_offset{records.size()}};
}

keyed_page fake_store::newest(const topic_id& id) const {
    keyed_page page;
    const auto found = topics_.find(id);
    if (found == topics_.end()) {
        return page;
    }
    std::map<std::string, std::uint64_t> newest;
    const auto& records = found->second.records;
    for (std::uint64_t at = 0; at < records.size(); ++at) {
        newest[records[at].key] = at;
    }
    for (const auto& [key, at] : newest) {
        if (!records[at].value.empty()) {
            page.entries.push_back({.offset = log_offset{at}, .record = records[at]});
        }
    }
    page.end = log_offset{records.size()};
    return page;
}

result<keyed_page> fake_store::read(const topic_id& id, log_offset from) const {
    keyed_page page;
    const auto found = topics_.find(id);
    if (found == topics_.end()) {
        return page;
    }
    const auto& stored = found->second;
    page.end = log_offset{stored.records.size()};
    if (from.get() < stored.first) {
        return failure{failure_kind::expired, "the records have expired", "list the newest"};
    }
    for (auto at = from.get(); at < stored.records.size(); ++at) {
        page.entries.push_back({.offset = log_offset{at}, .record = stored.records[at]});
    }
    return page;
}

void fake_store_link::schedule_if_alive(duration delay_time, std::function<void()> action) {
    loop_.schedule(delay_time, [alive = std::weak_ptr<bool>(alive_), action = std::move(action)] {
        if (!alive.expired()) {
            action();
        }
    });
}

template <typename Callback>
bool fake_store_link::inject_fault(const Callback& done, duration timeout) {
    if (active_faults.refuses) {
        schedule_if_alive(delay, [done] { done(unavailable); });
    } else if (active_faults.silent) {
        schedule_if_alive(timeout, [done] { done(timed_out); });
    }
    return active_faults.refuses || active_faults.silent;
}

void fake_store_link::append(keyed_append request, append_callback done) {
    if (inject_fault(done, request.timeout)) {
        return;
    }
    if (!fits(store_.limits, request.records)) {
        schedule_if_alive(delay, [done = std::move(done)] { done(too_large); });
        return;
    }
    const auto chance =
        static_cast<double>(loop_.random() % std::uint64_t{1'000'000}) / chance_scale;
    if (chance < active_faults.lost_answers) {
        const auto append_delay = std::chrono::milliseconds{loop_.random() % max_late_ms};
        // The store carries out the append even if the process no longer exists.
        if (loop_.random() % 4 != 0) {
            loop_.schedule(append_delay, [&store = store_, request] { store.append(request); });
        }
        schedule_if_alive(request.timeout, [done = std::move(done)] { done(timed_out); });
        return;
    }
    loop_.schedule(delay / 2, [this, &store = store_, alive = std::weak_ptr<bool>(alive_), request,
                               done = std::move(done)] {
        const auto reply = store.append(request);
        if (!alive.expired()) {
            schedule_if_alive(delay / 2, [done, reply] { done(reply); });
        }
    });
}

void fake_store_link::read(const topic_id& topic, log_offset from, duration wait, duration timeout,
                           page_callback done) {
    if (!inject_fault(done, wait + timeout)) {
        schedule_if_alive(delay, [this, topic, from, until = loop_.now() + wait,
                                  done = std::move(done)] { poll(topic, from, until, done); });
    }
}

void fake_store_link::poll(const topic_id& topic, log_offset from, time_point until,
                           const page_callback& done) {
    if (active_faults.refuses || active_faults.silent) {
        schedule_if_alive(active_faults.silent ? 800ms : 1ms, [done] { done(timed_out); });
        return;
    }
    auto page = store_.read(topic, from);
    if (page && active_faults.stale_records > 0) {
        auto& entries = page.value().entries;
        const auto kept = entries.size() > active_faults.stale_records
                              ? entries.size() - active_faults.stale_records
                              : 0;
        entries.resize(kept);
        page.value().end = log_offset{from.get() + kept};
    }
    if (!page || !page.value().entries.empty() || loop_.now() >= until) {
        done(page);
        return;
    }
    schedule_if_alive(poll_interval,
                      [this, topic, from, until, done] { poll(topic, from, until, done); });
}

void fake_store_link::list_newest(const topic_id& topic, const std::string& /*after*/,
                                  duration timeout, page_callback done) {
    if (!inject_fault(done, timeout)) {
        schedule_if_alive(delay,
                          [this, topic, done = std::move(done)] { done(store_.newest(topic)); });
    }
}

}  // namespace baobabrack::fakes
