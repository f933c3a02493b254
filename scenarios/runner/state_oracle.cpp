#include "runner/state_oracle.hpp"

#include <algorithm>

#include "runner/state_records.hpp"

namespace baobabrack::scenario {

namespace {

proposal_answer classify(const result<record_position>& outcome) {
    if (outcome) {
        return proposal_answer::applied;
    }
    switch (outcome.error().kind) {
        case failure_kind::unavailable:
            return proposal_answer::unavailable;
        case failure_kind::timed_out:
        case failure_kind::fenced:
            return proposal_answer::open;
        default:
            return proposal_answer::refused;
    }
}

}  // namespace

std::string state_oracle::answer(const std::string& mark, const result<record_position>& outcome) {
    auto& one = proposals_[mark];
    if (one.told != proposal_answer::none) {
        return "proposal " + mark + " was answered twice";
    }
    one.told = classify(outcome);
    if (outcome && one.offset != outcome.value().offset) {
        return "proposal " + mark + " is said to stand at offset " +
               std::to_string(outcome.value().offset.get()) + " and does not";
    }
    return judge(mark, one);
}

std::string state_oracle::judge(const std::string& mark, const proposal& one) const {
    if (one.applied > 1) {
        return "proposal " + mark + " took effect " + std::to_string(one.applied) + " times";
    }
    switch (one.told) {
        case proposal_answer::applied:
            return one.applied == 1 ? "" : "accepted proposal " + mark + " is not in the log";
        case proposal_answer::refused:
            return one.applied == 0 ? "" : "refused proposal " + mark + " took effect";
        case proposal_answer::unavailable:
            return one.in_log ? "proposal " + mark + " was told unavailable and is in the log" : "";
        default:
            return "";
    }
}

std::string state_oracle::append(log_offset offset, const std::string& payload) {
    const auto replayed = replay_.apply(payload);
    digests_.push_back(replay_.digest());
    std::string violation;
    for (std::size_t i = 0; i < replayed.outcomes.size(); ++i) {
        const auto& record = replayed.batch.records(static_cast<int>(i));
        if (record.has_snapshot_chunk()) {
            note_snapshot(record.snapshot_chunk());
        }
        const auto mark = state_records::mark_of(record);
        if (mark.empty()) {
            continue;
        }
        auto& one = proposals_[mark];
        one.in_log = true;
        if (replayed.outcomes[i]) {
            ++one.applied;
            one.offset = offset;
        }
        if (auto found = judge(mark, one); !found.empty()) {
            violation = found;
        }
        if (record.has_claim_made() && replayed.outcomes[i] &&
            !claimed_.insert(record.claim_made().key()).second) {
            violation = "key " + record.claim_made().key() + " was claimed twice";
        }
    }
    return violation.empty() ? check_grants() : violation;
}

std::string state_oracle::check_grants() const {
    std::map<worker_id, std::uint32_t> granted;
    for (const auto& [id, one] : parts_.jobs.jobs()) {
        for (const auto& member : one.members) {
            granted[member.worker] += member.count * one.per_member().accelerators.get();
        }
    }
    for (const auto& [id, count] : granted) {
        const auto* holder = parts_.jobs.workers().find(id);
        if (holder != nullptr && count > holder->capacity.accelerators.get()) {
            return "worker " + id.get() + " is granted " + std::to_string(count) + " accelerators";
        }
    }
    return "";
}

void state_oracle::note_snapshot(const wire::SnapshotChunk& chunk) {
    if (const auto whole = snapshots_.add(chunk)) {
        newest_whole_ = std::max(newest_whole_, whole->covers.get());
    }
}

std::string state_oracle::finish() const {
    for (const auto& [mark, one] : proposals_) {
        if (auto found = judge(mark, one); !found.empty()) {
            return found;
        }
    }
    return "";
}

std::uint64_t state_oracle::count(proposal_answer told) const {
    const auto counted = std::count_if(proposals_.begin(), proposals_.end(),
                                       [&](const auto& item) { return item.second.told == told; });
    return static_cast<std::uint64_t>(counted);
}

}  // namespace baobabrack::scenario
