#include "baobabrack/ledger/replay.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "baobabrack/ledger/snapshot_chunks.hpp"

namespace baobabrack {

namespace {

constexpr std::string_view progress_section = "replay";

failure bad_snapshot(std::string what) {
    return {failure_kind::invalid, std::move(what), "take another snapshot or replay the log"};
}

/// @return the section's data; empty, which is the empty state, if there is none
std::string_view find_section(const wire::StateSnapshot& snapshot, std::string_view name) {
    for (const auto& section : snapshot.sections()) {
        if (section.name() == name) {
            return section.data();
        }
    }
    return {};
}

}  // namespace

replay::replay(std::vector<replicated_state*> states) : states_(std::move(states)) {
}

replayed_batch replay::apply(std::string_view payload) {
    replayed_batch replayed;
    replayed.offset = next_offset_;
    next_offset_ = log_offset{next_offset_.get() + 1};
    auto& batch = replayed.batch;
    if (!batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        ++counters_.undecodable_batches;
        batch.Clear();
        return replayed;
    }
    const wall_time written{std::chrono::milliseconds{batch.written_at_ms()}};
    const auto time = std::max(log_time_, written);
    replayed.verdict = duplicates_.admit(batch, time);
    if (replayed.verdict == batch_verdict::duplicate) {
        ++counters_.duplicate_batches;
        return replayed;
    }
    if (replayed.verdict == batch_verdict::fenced) {
        ++counters_.fenced_batches;
        return replayed;
    }
    log_time_ = time;
    ++counters_.batches;
    record_position position{.offset = replayed.offset,
                             .written_at = log_time_,
                             .writer = entry_id{batch.writer()},
                             .writer_incarnation = incarnation{batch.incarnation()}};
    replayed.outcomes.reserve(static_cast<std::size_t>(batch.records_size()));
    for (const auto& record : batch.records()) {
        replayed.outcomes.push_back(apply_record(record, position));
        ++position.index;
    }
    return replayed;
}

result<record_position> replay::apply_record(const wire::Record& record,
                                             const record_position& position) {
    ++counters_.records;
    if (record.kind_case() == wire::Record::KIND_NOT_SET) {
        ++counters_.unknown_records;
        return position;
    }
    for (auto* state : states_) {
        if (!state->handles(record)) {
            continue;
        }
        if (auto applied = state->apply(record, position); !applied) {
            ++counters_.refused_records;
            return std::move(applied).error();
        }
    }
    return position;
}

bool replay::complete() const {
    return counters_.unknown_records == 0 && counters_.unknown_sections == 0;
}

wire::StateSnapshot replay::to_snapshot() const {
    wire::StateSnapshot snapshot;
    snapshot.set_format_version(log_format_version);
    snapshot.set_next_offset(next_offset_.get());
    wire::ReplayProgress progress;
    duplicates_.save(progress);
    progress.set_log_time_ms(log_time_.time_since_epoch().count());
    auto* section = snapshot.add_sections();
    section->set_name(std::string(progress_section));
    section->set_format_version(log_format_version);
    section->set_data(progress.SerializeAsString());
    for (const auto* state : states_) {
        section = snapshot.add_sections();
        section->set_name(std::string(state->name()));
        section->set_format_version(log_format_version);
        section->set_data(state->save());
    }
    return snapshot;
}

std::uint64_t replay::digest() const {
    const auto bytes = save();
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string replay::save() const {
    return to_snapshot().SerializeAsString();
}

result<void> replay::load(std::string_view bytes) {
    wire::StateSnapshot snapshot;
    if (bytes.size() > max_snapshot_bytes) {
        return bad_snapshot("the snapshot has " + std::to_string(bytes.size()) +
                            " bytes; at most " + std::to_string(max_snapshot_bytes) + " are read");
    }
    if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        snapshot.sections().empty()) {
        return bad_snapshot("the snapshot cannot be decoded");
    }
    if (snapshot.next_offset() < next_offset_.get()) {
        return failure{failure_kind::expired,
                       "the snapshot ends at offset " + std::to_string(snapshot.next_offset()) +
                           ", before this state's offset " + std::to_string(next_offset_.get()),
                       "take a newer snapshot"};
    }
    const auto before = to_snapshot();
    if (auto loaded = load_sections(snapshot); !loaded) {
        // The parts saved this themselves, so they take it back.
        (void)load_sections(before);
        return loaded;
    }
    counters_.unknown_sections += count_unknown(snapshot);
    next_offset_ = log_offset{snapshot.next_offset()};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> replay::load_sections(const wire::StateSnapshot& snapshot) {
    if (auto loaded = load_progress(snapshot); !loaded) {
        return loaded;
    }
    for (auto* state : states_) {
        if (auto loaded = state->load(find_section(snapshot, state->name())); !loaded) {
            return loaded;
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> replay::load_progress(const wire::StateSnapshot& snapshot) {
    wire::ReplayProgress progress;
    if (!progress.ParseFromString(std::string(find_section(snapshot, progress_section)))) {
        return bad_snapshot("section \"replay\" of the snapshot cannot be decoded");
    }
    duplicates_.load(progress);
    log_time_ = wall_time{std::chrono::milliseconds{progress.log_time_ms()}};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::uint64_t replay::count_unknown(const wire::StateSnapshot& snapshot) const {
    const auto known = [this](const wire::StateSection& section) {
        return section.name() == progress_section ||
               std::any_of(states_.begin(), states_.end(),
                           [&](const auto* state) { return state->name() == section.name(); });
    };
    const auto& sections = snapshot.sections();
    const auto unknown = std::count_if(sections.begin(), sections.end(), std::not_fn(known));
    return static_cast<std::uint64_t>(unknown);
}

}  // namespace baobabrack
