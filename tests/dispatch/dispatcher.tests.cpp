#include "baobabrack/dispatch/dispatcher.hpp"

#include <catch2/catch.hpp>
#include <deque>

#include "baobabrack/records.pb.h"
#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_proposer.hpp"
#include "fakes/fake_targets.hpp"

using namespace baobabrack;
using namespace baobabrack::fakes;
using namespace std::chrono_literals;

namespace {

wire::Ticket plaitplan_ticket() {
    wire::Ticket ticket;
    ticket.set_number(1);
    auto& service = *ticket.add_services();
    service.set_id("plaitplan");
    const auto add_class = [&](const char* name, std::uint32_t priority, bool idempotent) {
        auto& one = *service.add_classes();
        one.set_name(name);
        one.set_priority(priority);
        one.set_idempotent(idempotent);
        one.set_queue_limit(20);
        one.set_default_deadline_ms(1000);
    };
    add_class("check", 0, true);
    add_class("scan", 1, true);
    add_class("sort", 0, false);
    auto& workspace = *ticket.add_workspaces();
    workspace.set_id("w1");
    workspace.set_name("hats");
    workspace.add_former_names("braids");
    workspace.set_service("plaitplan");
    workspace.set_request_weight(1);
    return ticket;
}

struct one_entry {
    virtual_runtime loop{1};
    directory tickets;
    target_registry registry{{.silence_limit = 10min}};
    claim_state claims;
    entry_set entries;
    fake_proposer log{loop, {&claims, &entries}, {}};
    fake_targets targets{loop, {}, [](const target_request& request) {
                             return request.body == "long work" ? 700ms : 20ms;
                         }};
    fake_target_link link{targets, "tennengau"};
    metrics_registry metrics;
    std::unique_ptr<dispatcher> entry;
    std::deque<caller_answer> answers;

    one_entry() {
        tickets.apply(plaitplan_ticket());
        wire::Record joined;
        joined.mutable_entry_joined()->set_entry("e1");
        joined.mutable_entry_joined()->set_incarnation(1);
        joined.mutable_entry_joined()->mutable_location()->set_region("tennengau");
        REQUIRE(entries.apply(joined, {.offset = log_offset{0}}));
        entry = std::make_unique<dispatcher>(
            dispatcher::context{loop, tickets, registry, claims, entries, log, link, metrics},
            dispatcher::options{.self = entry_id{"e1"},
                                .version = incarnation{1},
                                .place = {.region = region_id{"tennengau"}}});
    }

    fake_target& add_target(const std::string& name, bool guarded = false) {
        wire::TargetAnnouncement facts;
        facts.set_target(name);
        facts.set_incarnation(1);
        facts.set_sequence(1);
        facts.set_service("plaitplan");
        facts.mutable_location()->set_region("tennengau");
        facts.set_slots(8);
        facts.set_connections(64);
        facts.set_guard_endpoint(guarded ? "guard" : "");
        registry.handle_announcement(facts, loop.now());
        return targets.add(facts);
    }

    void submit(const std::string& request_class, const std::string& key = "",
                std::uint32_t attempt = 0) {
        caller_request request{.workspace = "hats",
                               .request_class = request_class,
                               .body = "work",
                               .attempt = attempt};
        if (!key.empty()) {
            const auto issued = loop.wall_now().time_since_epoch().count();
            request.key = idempotency_key{std::to_string(issued - issued % 100'000) + "-" + key};
        }
        submit(std::move(request));
    }

    void submit(caller_request request) {
        entry->submit(std::move(request),
                      [this](caller_answer answer) { answers.push_back(std::move(answer)); });
    }

    bool answered() const { return std::holds_alternative<whole_answer>(answers.back()); }
    refusal refused() const { return std::get<refusal>(answers.back()); }
};

}  // namespace

TEST_CASE("A request gets its own whole answer", "[dispatcher]") {
    one_entry world;
    world.add_target("t1");
    world.submit("check");
    world.submit("sort", "a", 1);
    world.loop.run_for(200ms);
    REQUIRE(world.answers.size() == 2);
    CHECK(std::get<whole_answer>(world.answers[0]).body == "answer to work");
    CHECK(std::get<whole_answer>(world.answers[1]).body == "answer to work");
    CHECK(world.entry->in_flight() == 0);
    CHECK(world.entry->unsettled() == 0);
}

TEST_CASE("What cannot be taken is refused with its remedy", "[dispatcher]") {
    one_entry world;
    SECTION("unknown workspace") {
        world.submit(caller_request{.workspace = "hat", .caller_region = region_id{"pongau"}});
        CHECK(world.refused().reason == refusal_reason::unknown_workspace);
        CHECK(world.refused().remedy.find("hats") != std::string::npos);
        REQUIRE(world.entry->confused().size() == 1);
        CHECK(world.entry->confused()[0].nearest == "hats");
    }
    SECTION("unknown class") {
        world.submit("polish");
        CHECK(world.refused().reason == refusal_reason::unknown_class);
        CHECK(world.refused().remedy.find("check, scan, sort") != std::string::npos);
    }
    SECTION("no key") {
        world.submit("sort");
        CHECK(world.refused().reason == refusal_reason::key_missing);
    }
    SECTION("draining") {
        world.entry->begin_drain();
        world.submit("check");
        CHECK(world.refused().reason == refusal_reason::draining);
    }
    SECTION("no target") {
        world.submit("check");
        world.loop.run_for(2s);
        CHECK(world.refused().reason == refusal_reason::no_target);
    }
    CHECK(world.refused().ran == ran_state::no);
    CHECK(world.entry->in_flight() == 0);
}

TEST_CASE("A renamed workspace keeps working and is reported", "[dispatcher]") {
    one_entry world;
    world.add_target("t1");
    world.submit(caller_request{.workspace = "braids", .request_class = "check"});
    world.loop.run_for(200ms);
    CHECK(world.answered());
    REQUIRE(world.entry->confused().size() == 1);
    CHECK(world.entry->confused()[0].workspace == workspace_id{"w1"});
}

TEST_CASE("A key runs once, and later attempts get its result", "[dispatcher]") {
    one_entry world;
    world.add_target("t1");
    world.submit("sort", "a", 1);
    world.submit("sort", "a", 2);
    world.loop.run_for(200ms);
    world.submit("sort", "a", 3);
    world.loop.run_for(200ms);
    REQUIRE(world.answers.size() == 3);
    for (const auto& answer : world.answers) {
        CHECK(std::get<whole_answer>(answer).body == "answer to work");
    }
    CHECK(world.targets.runs() == 1);
}

TEST_CASE("A claimed request without an answer is unknown and never sent again", "[dispatcher]") {
    one_entry world;
    world.add_target("t1").mode = target_mode::truncates;
    world.add_target("t2").mode = target_mode::truncates;
    world.submit("sort", "a", 1);
    world.loop.run_for(200ms);
    CHECK(world.refused().reason == refusal_reason::answer_lost);
    CHECK(world.refused().ran == ran_state::unknown);
    world.submit("sort", "a", 2);
    world.loop.run_for(2s);
    CHECK(world.refused().reason == refusal_reason::key_settled);
    CHECK(world.refused().ran == ran_state::unknown);
    CHECK(world.targets.runs() == 1);
}

TEST_CASE("A late answer is kept for later attempts", "[dispatcher]") {
    one_entry world;
    world.add_target("t1").mode = target_mode::slow;
    caller_request request{.workspace = "w1", .request_class = "sort", .body = "work"};
    const auto issued = world.loop.wall_now().time_since_epoch().count();
    request.key = idempotency_key{std::to_string(issued) + "-late"};
    request.attempt = 1;
    // The claim takes 2 ms, the way there and back 1 ms, the work 200 ms.
    request.deadline = 202ms;
    world.submit(request);
    world.loop.run_for(202ms);
    REQUIRE(world.answers.size() == 1);
    CHECK(world.refused().ran == ran_state::unknown);
    world.loop.run_for(100ms);
    request.attempt = 2;
    world.submit(request);
    world.loop.run_for(1ms);
    REQUIRE(world.answers.size() == 2);
    CHECK(world.answered());
    CHECK(world.targets.runs() == 1);
}

TEST_CASE("A guard that proves a request did not run lets it go elsewhere", "[dispatcher]") {
    one_entry world;
    auto& first = world.add_target("t1", true);
    world.submit("sort", "a", 1);
    world.loop.run_for(1ms);
    SECTION("refused") {
        first.facts.set_slots(0);
        world.add_target("t2");
        world.loop.run_for(500ms);
        CHECK(world.answered());
        CHECK(world.targets.runs() == 1);
    }
}

TEST_CASE("A drained entry has finished what it took in", "[dispatcher]") {
    one_entry world;
    world.add_target("t1");
    world.submit("check");
    world.submit("sort", "a", 1);
    world.loop.run_for(5ms);
    world.entry->begin_drain();
    CHECK_FALSE(world.entry->drained());
    world.loop.run_for(200ms);
    CHECK(world.answers.size() == 2);
    CHECK(world.answered());
    CHECK(world.entry->drained());
}

TEST_CASE("Another region is used within the workspace's bytes only", "[dispatcher]") {
    one_entry world;
    auto facts = world.add_target("far").facts;
    facts.set_sequence(2);
    facts.mutable_location()->set_region("pongau");
    world.registry.handle_announcement(facts, world.loop.now());
    world.targets.get(target_id{"far"}).facts = facts;
    SECTION("none allowed") {
        world.submit("check");
        world.loop.run_for(2s);
        CHECK(world.refused().reason == refusal_reason::region_budget);
    }
    SECTION("some allowed") {
        auto ticket = plaitplan_ticket();
        ticket.set_number(2);
        ticket.mutable_workspaces(0)->set_cross_region_bytes_per_day(1000);
        world.tickets.apply(ticket);
        world.submit("check");
        world.loop.run_for(2s);
        CHECK(world.answered());
        CHECK(world.metrics.render().find("baobabrack_cross_region_bytes_total") !=
              std::string::npos);
    }
}

TEST_CASE("Without the log only a first attempt is told that nothing ran", "[dispatcher]") {
    one_entry world;
    world.add_target("t1");
    world.log.set_down(true);
    world.submit("check");
    world.submit("sort", "a", 1);
    world.submit("sort", "b", 2);
    world.loop.run_for(3s);
    REQUIRE(world.answers.size() == 3);
    CHECK(std::holds_alternative<whole_answer>(world.answers[0]));
    CHECK(std::get<refusal>(world.answers[1]).ran == ran_state::no);
    CHECK(std::get<refusal>(world.answers[2]).ran == ran_state::unknown);
    CHECK(world.targets.runs() == 1);
}

TEST_CASE("A leaving target gets nothing new", "[dispatcher]") {
    one_entry world;
    auto facts = world.add_target("t1").facts;
    facts.set_sequence(2);
    facts.set_leaving(true);
    world.registry.handle_announcement(facts, world.loop.now());
    world.submit("check");
    world.loop.run_for(2s);
    CHECK(world.refused().ran == ran_state::no);
    CHECK(world.targets.sends() == 0);
}

TEST_CASE("Sends at total failure stay within the retry budget", "[dispatcher]") {
    one_entry world;
    world.add_target("t1").mode = target_mode::errors;
    world.add_target("t2").mode = target_mode::errors;
    world.add_target("t3").mode = target_mode::errors;
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i) {
        world.submit("check");
        world.loop.run_for(20ms);
    }
    CHECK(world.targets.sends() <= requests * 1.1);
}

TEST_CASE("The highest class is served first and the lowest is shed first", "[dispatcher]") {
    one_entry world;
    world.add_target("t1");
    for (int i = 0; i < 40; ++i) {
        world.submit("scan");
    }
    for (int i = 0; i < 8; ++i) {
        world.submit("check");
    }
    const auto refused = world.answers.size();
    CHECK(refused == 12);
    CHECK(world.refused().reason == refusal_reason::queue_full);
    world.loop.run_for(45ms);
    // The first eight scans and then the eight checks.
    CHECK(world.answers.size() == refused + 16);
}

TEST_CASE("A request that takes longer than its class usually does is answered", "[dispatcher]") {
    one_entry world;
    for (const auto* name : {"t1", "t2", "t3"}) {
        world.add_target(name);
    }
    for (int i = 0; i < 50; ++i) {
        world.submit("check");
        world.loop.run_for(50ms);
    }
    world.submit(caller_request{
        .workspace = "hats", .request_class = "check", .body = "long work", .deadline = 1s});
    world.loop.run_for(2s);
    REQUIRE(world.answered());
    CHECK(std::get<whole_answer>(world.answers.back()).body == "answer to long work");
    CHECK(world.entry->in_flight() == 0);
    world.loop.run_for(3s);
    CHECK(world.entry->exchanges() == 0);
}
