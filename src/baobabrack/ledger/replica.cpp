#include "baobabrack/ledger/replica.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack {

namespace {

failure lost_records(log_offset needed, log_offset oldest) {
    return {failure_kind::expired,
            "the log keeps records from offset " + std::to_string(oldest.get()) + " on, but " +
                std::to_string(needed.get()) + " is needed and no whole snapshot replaces it",
            "start this entry beside a peer that has the state, or raise the log's retention"};
}

failure shortened_log(log_offset needed, log_offset end) {
    return {failure_kind::conflict,
            "the log ends at offset " + std::to_string(end.get()) + ", before offset " +
                std::to_string(needed.get()) + " that was already replayed",
            "point this entry at its own log, or restore the log's lost records"};
}

}  // namespace

std::string_view to_string(replica_phase phase) {
    switch (phase) {
        case replica_phase::searching:
            return "searching";
        case replica_phase::following:
            return "following";
        case replica_phase::stranded:
            return "stranded";
    }
    return "unknown";
}

replica::replica(runtime& loop, log_service& log, options opts,
                 std::vector<replicated_state*> states)
    : loop_(loop),
      log_(log),
      options_(opts),
      replay_(std::move(states)),
      backoff_(opts.backoff_least),
      last_read_(loop.now()),
      timer_(loop) {
}

void replica::start() {
    if (started_) {
        return;
    }
    started_ = true;
    last_read_ = loop_.now();
    read_later(duration::zero());
}

void replica::wake() {
    if (!started_ || phase_ == replica_phase::stranded) {
        return;
    }
    if (reading_) {
        wake_pending_ = true;
        return;
    }
    read_later(duration::zero());
}

bool replica::healthy() const {
    return phase_ != replica_phase::stranded && since_last_read() < options_.silence_limit;
}

result<void> replica::load_snapshot(std::string_view snapshot) {
    if (auto loaded = replay_.load(snapshot); !loaded) {
        ++counters_.snapshots_refused;
        return loaded;
    }
    ++counters_.snapshots_loaded;
    ready_ = true;
    follow_from_here();
    for (const auto& notify : reset_listeners_) {
        notify();
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void replica::read_later(duration delay) {
    timer_.arm(delay, [this] { read_now(); });
}

void replica::read_now() {
    if (reading_) {
        return;
    }
    reading_ = true;
    wake_pending_ = false;
    ++counters_.reads;
    const auto from = phase_ == replica_phase::following ? next_offset() : search_.next_read();
    const std::weak_ptr<bool> alive = alive_;
    const auto generation = generation_;
    log_.read(from, options_.page_entries, [this, alive, generation](result<log_page> answer) {
        if (alive.expired()) {
            return;
        }
        reading_ = false;
        if (generation != generation_) {
            // The position has moved meanwhile, so the answer is about something else.
            read_later(duration::zero());
            return;
        }
        take_answer(answer);
    });
}

void replica::take_answer(const result<log_page>& answer) {
    if (!answer) {
        take_failure(answer.error());
        return;
    }
    backoff_ = options_.backoff_least;
    last_read_ = loop_.now();
    oldest_kept_ = answer.value().oldest;
    take_page(answer.value());
}

void replica::take_failure(const failure& error) {
    ++counters_.failed_reads;
    if (error.kind == failure_kind::expired) {
        if (phase_ == replica_phase::following) {
            ++counters_.lost_positions;
        }
        begin_search();
    }
    trouble_ = error;
    back_off();
}

void replica::back_off() {
    const auto jitter = static_cast<duration::rep>(loop_.random() % 1024);
    read_later(backoff_ / 2 + backoff_ * jitter / 2048);
    backoff_ = std::min(backoff_ * 2, options_.backoff_most);
}

void replica::take_page(const log_page& page) {
    if (phase_ == replica_phase::following) {
        follow(page);
    } else {
        search(page);
    }
}

void replica::follow(const log_page& page) {
    if (page.end < next_offset()) {
        strand(shortened_log(next_offset(), page.end));
        return;
    }
    if (!apply_entries(page)) {
        ++counters_.lost_positions;
        begin_search();
        read_later(duration::zero());
        return;
    }
    trouble_.reset();
    const auto at_end = next_offset() >= page.end;
    ready_ = ready_ || at_end;
    const auto at_once = !at_end || wake_pending_;
    read_later(at_once ? duration::zero() : options_.poll_interval);
}

/// @return false if the page leaves out entries that are needed
bool replica::apply_entries(const log_page& page) {
    for (const auto& entry : page.entries) {
        if (entry.offset < next_offset()) {
            continue;
        }
        if (entry.offset > next_offset()) {
            return false;
        }
        apply(entry);
    }
    return true;
}

void replica::apply(const log_entry& entry) {
    const auto replayed = replay_.apply(entry.payload);
    note_chunks(replayed);
    for (const auto& notify : listeners_) {
        notify(replayed);
    }
}

void replica::note_chunks(const replayed_batch& replayed) {
    for (const auto& record : replayed.batch.records()) {
        if (!record.has_snapshot_chunk()) {
            continue;
        }
        if (const auto whole = passing_.add(record.snapshot_chunk())) {
            snapshot_covers_ = std::max(snapshot_covers_.value_or(log_offset{0}), whole->covers);
        }
    }
}

void replica::begin_search() {
    ++generation_;
    phase_ = replica_phase::searching;
    search_.reset();
}

void replica::search(const log_page& page) {
    if (search_.take(page)) {
        finish_search();
        return;
    }
    read_later(duration::zero());
}

void replica::finish_search() {
    if (search_.end() < next_offset()) {
        strand(shortened_log(next_offset(), search_.end()));
        return;
    }
    const auto& found = search_.found();
    const auto loaded = found && load_found(*found);
    if (next_offset() < search_.oldest()) {
        strand(lost_records(next_offset(), search_.oldest()));
        return;
    }
    ready_ = ready_ || next_offset() >= search_.end();
    follow_from_here();
    if (loaded) {
        for (const auto& notify : reset_listeners_) {
            notify();
        }
    }
}

bool replica::load_found(const whole_snapshot& found) {
    if (found.covers < search_.oldest() || found.covers <= next_offset()) {
        return false;
    }
    if (!replay_.load(found.bytes)) {
        ++counters_.snapshots_refused;
        return false;
    }
    ++counters_.snapshots_loaded;
    snapshot_covers_ = found.covers;
    return true;
}

void replica::follow_from_here() {
    ++generation_;
    phase_ = replica_phase::following;
    search_.reset();
    trouble_.reset();
    if (started_) {
        read_later(duration::zero());
    }
}

void replica::strand(failure why) {
    ++generation_;
    phase_ = replica_phase::stranded;
    search_.reset();
    trouble_ = std::move(why);
    read_later(options_.backoff_most);
}

}  // namespace baobabrack
