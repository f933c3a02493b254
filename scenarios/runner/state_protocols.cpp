#include "runner/state_protocols.hpp"

#include "baobabrack/dispatch/claim_state.hpp"
#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/ledger/ticket_state.hpp"

namespace baobabrack::scenario {

namespace {

// When a virtual run begins.
constexpr std::int64_t race_begin_ms = 1'767'225'600'000;

using state_list = std::vector<std::unique_ptr<replicated_state>>;

/// Two operators give tickets the same number.
class ticket_race : public state_protocol {
public:
    std::string_view name() const override { return "tickets"; }

    state_list make_states() const override {
        state_list states;
        states.push_back(std::make_unique<ticket_state>(ticket_state::options{}));
        return states;
    }

    std::vector<wire::Record> preamble() const override { return {}; }

    wire::Record proposal(std::size_t entry, std::uint64_t version) const override {
        wire::Record record;
        auto* accepted = record.mutable_ticket_accepted();
        accepted->set_operator_("operator-" + std::to_string(entry));
        accepted->mutable_ticket()->set_number(1);
        accepted->mutable_ticket()->set_note("from incarnation " + std::to_string(version));
        accepted->mutable_ticket()->add_regions()->set_id("pongau");
        return record;
    }
};

/// Two entries claim one idempotency key.
class claim_race : public state_protocol {
public:
    std::string_view name() const override { return "claims"; }

    state_list make_states() const override {
        state_list states;
        states.push_back(std::make_unique<claim_state>());
        return states;
    }

    std::vector<wire::Record> preamble() const override { return {}; }

    wire::Record proposal(std::size_t entry, std::uint64_t version) const override {
        wire::Record record;
        auto* claim = record.mutable_claim_made();
        claim->set_workspace("halls");
        claim->set_key("key-1");
        claim->set_entry("e" + std::to_string(entry));
        claim->set_entry_incarnation(version);
        claim->set_issued_at_ms(race_begin_ms);
        claim->set_request_class("sort");
        return record;
    }
};

/// Two entries grant the same worker to different jobs.
class grant_race : public state_protocol {
public:
    std::string_view name() const override { return "grants"; }

    state_list make_states() const override {
        state_list states;
        states.push_back(std::make_unique<job_state>(job_state::options{}));
        return states;
    }

    std::vector<wire::Record> preamble() const override {
        std::vector<wire::Record> records(3);
        auto* facts = records[0].mutable_worker_joined()->mutable_facts();
        facts->set_worker("w1");
        facts->set_incarnation(1);
        facts->mutable_capacity()->set_accelerators(8);
        for (std::size_t job = 0; job < 2; ++job) {
            auto* spec = records[job + 1].mutable_job_submitted()->mutable_spec();
            spec->set_id("j" + std::to_string(job));
            spec->mutable_shape()->set_members(1);
            spec->mutable_shape()->mutable_per_member()->set_accelerators(5);
        }
        return records;
    }

    wire::Record proposal(std::size_t entry, std::uint64_t /*version*/) const override {
        wire::Record record;
        auto* committed = record.mutable_gang_committed();
        committed->set_job("j" + std::to_string(entry));
        committed->set_attempt(1);
        auto* member = committed->add_members();
        member->set_worker("w1");
        member->set_incarnation(1);
        member->set_count(1);
        return record;
    }
};

}  // namespace

std::vector<std::unique_ptr<state_protocol>> all_state_protocols() {
    std::vector<std::unique_ptr<state_protocol>> protocols;
    protocols.push_back(std::make_unique<claim_race>());
    protocols.push_back(std::make_unique<grant_race>());
    protocols.push_back(std::make_unique<ticket_race>());
    return protocols;
}

}  // namespace baobabrack::scenario
