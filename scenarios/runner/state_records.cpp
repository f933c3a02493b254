#include "runner/state_records.hpp"

namespace baobabrack::scenario {

namespace {

constexpr std::uint64_t worker_count = 6;
constexpr std::uint32_t accelerators = 8;

std::string to_mark(std::uint64_t number) {
    return "p" + std::to_string(number);
}

}  // namespace

wire::Record state_records::make(const state_parts& seen, wall_time now) {
    ++next_mark_;
    switch (pick(8)) {
        case 0:
            return make_claim(now);
        case 1:
            return make_job();
        case 2:
            return make_commit(seen);
        case 3:
            return make_finish(seen);
        case 4:
            return make_worker();
        default:
            return make_ticket();
    }
}

wire::Record state_records::make_ticket() {
    wire::Record record;
    highest_number_ += pick(3);
    auto* accepted = record.mutable_ticket_accepted();
    accepted->set_operator_("operator-" + std::to_string(pick(3)));
    auto* ticket = accepted->mutable_ticket();
    ticket->set_number(highest_number_ + pick(5));
    ticket->set_note(to_mark(next_mark_));
    auto* region = ticket->add_regions();
    region->set_id("region-" + std::to_string(pick(12)));
    region->set_removed(pick(8) == 0);
    return record;
}

wire::Record state_records::make_claim(wall_time now) {
    wire::Record record;
    auto* claim = record.mutable_claim_made();
    claim->set_workspace("halls");
    claim->set_key("key-" + std::to_string(next_mark_ / 16));
    claim->set_entry(to_mark(next_mark_));
    claim->set_issued_at_ms(now.time_since_epoch().count());
    return record;
}

wire::Record state_records::make_worker() {
    wire::Record record;
    auto* facts = record.mutable_worker_joined()->mutable_facts();
    facts->set_worker("w" + std::to_string(pick(worker_count)));
    facts->set_incarnation(1);
    facts->mutable_capacity()->set_accelerators(accelerators);
    return record;
}

wire::Record state_records::make_job() {
    wire::Record record;
    auto* spec = record.mutable_job_submitted()->mutable_spec();
    spec->set_id("j" + std::to_string(next_mark_ / 16));
    spec->set_command(to_mark(next_mark_));
    spec->mutable_shape()->set_members(2);
    spec->mutable_shape()->mutable_per_member()->set_accelerators(3);
    return record;
}

const job* state_records::find_job(const state_parts& seen, job_phase phase) {
    const job* found = nullptr;
    std::uint64_t fitting = 0;
    for (const auto& [id, one] : seen.jobs.jobs()) {
        if (one.phase == phase && pick(++fitting) == 0) {
            found = &one;
        }
    }
    return found;
}

wire::Record state_records::make_commit(const state_parts& seen) {
    const auto* chosen = find_job(seen, job_phase::queued);
    if (chosen == nullptr) {
        return make_job();
    }
    wire::Record record;
    auto* committed = record.mutable_gang_committed();
    committed->set_job(chosen->id.get());
    // The attempt doubles as the mark.
    committed->set_attempt(static_cast<std::uint32_t>(next_mark_));
    const auto first = pick(worker_count);
    for (std::uint64_t member = 0; member < 2; ++member) {
        auto* granted = committed->add_members();
        granted->set_worker("w" + std::to_string((first + member) % worker_count));
        granted->set_incarnation(1);
        granted->set_count(1);
    }
    return record;
}

wire::Record state_records::make_finish(const state_parts& seen) {
    const auto* chosen = find_job(seen, job_phase::committed);
    if (chosen == nullptr) {
        return make_job();
    }
    wire::Record record;
    auto* finished = record.mutable_job_finished();
    finished->set_job(chosen->id.get());
    finished->set_attempt(chosen->attempt.get());
    finished->set_outcome(wire::JOB_SUCCEEDED);
    finished->set_message(to_mark(next_mark_));
    return record;
}

std::string state_records::mark_of(const wire::Record& record) {
    switch (record.kind_case()) {
        case wire::Record::kTicketAccepted:
            return record.ticket_accepted().ticket().note();
        case wire::Record::kClaimMade:
            return record.claim_made().entry();
        case wire::Record::kJobSubmitted:
            return record.job_submitted().spec().command();
        case wire::Record::kGangCommitted:
            return to_mark(record.gang_committed().attempt());
        case wire::Record::kJobFinished:
            return record.job_finished().message();
        default:
            return "";
    }
}

}  // namespace baobabrack::scenario
