#include "baobabrack/ledger/log_writer.hpp"

#include <catch2/catch.hpp>

#include "ledger/ledger_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::test;
using namespace std::chrono_literals;

TEST_CASE("A proposal's outcome comes with its replay", "[log_writer]") {
    virtual_runtime loop(1);
    fakes::fake_log log(loop, {});
    ledger_node first(loop, log, "e1");
    ledger_node second(loop, log, "e2");

    SECTION("applied at every replica") {
        const auto outcome = propose(first.writer, ticket_record(7, "pongau"));
        loop.run_for(1s);
        REQUIRE(outcome->has_value());
        REQUIRE(outcome->value());
        CHECK(outcome->value().value().offset == log_offset{0});
        CHECK(second.tickets.in_force().highest() == ticket_number{7});
        CHECK(first.reader.digest() == second.reader.digest());
    }
    SECTION("refused by the state") {
        const auto winner = propose(first.writer, ticket_record(7, "pongau"));
        loop.run_for(1s);
        const auto loser = propose(second.writer, ticket_record(7, "flachgau", "bob"));
        loop.run_for(1s);
        REQUIRE(winner->value());
        REQUIRE_FALSE(loser->value());
        CHECK(loser->value().error().kind == failure_kind::conflict);
        CHECK(loser->value().error().message.find("ann") != std::string::npos);
    }
    SECTION("many proposals of a loop turn share an append") {
        for (std::uint64_t number = 1; number <= 50; ++number) {
            propose(first.writer, ticket_record(number, "pongau"));
        }
        loop.run_for(1s);
        CHECK(log.end() == 1);
        CHECK(first.tickets.history().size() == 50);
    }
}

TEST_CASE("A lost answer leads to one effect", "[log_writer]") {
    virtual_runtime loop(1);
    fakes::fake_log log(loop, {});
    ledger_node node(loop, log, "e1");
    loop.run_for(10ms);

    SECTION("the replay settles it") {
        log.lose_append_answers(1);
        const auto outcome = propose(node.writer, ticket_record(1, "pongau"));
        loop.run_for(10s);
        REQUIRE(outcome->has_value());
        CHECK(outcome->value());
        CHECK(log.end() == 1);
    }
    SECTION("a retry is dropped on replay") {
        log.set_extra_delay(3s);
        const auto outcome = propose(node.writer, ticket_record(1, "pongau"));
        loop.run_for(5s);
        log.set_extra_delay(0s);
        loop.run_for(20s);
        REQUIRE(outcome->has_value());
        CHECK(outcome->value());
        CHECK(node.reader.state().counters().records == 1);
        CHECK(node.tickets.history().size() == 1);
    }
}

TEST_CASE("Patience ends with the truth", "[log_writer]") {
    virtual_runtime loop(1);
    fakes::fake_log log(loop, {});
    ledger_node node(loop, log, "e1");
    loop.run_for(10ms);

    SECTION("never sent while the log was down") {
        log.set_down(true);
        const auto outcome = propose(node.writer, ticket_record(1, "pongau"), 3s);
        loop.run_for(4s);
        REQUIRE(outcome->has_value());
        REQUIRE_FALSE(outcome->value());
        CHECK(outcome->value().error().kind == failure_kind::unavailable);
        log.set_down(false);
        loop.run_for(10s);
        CHECK(log.end() == 0);
    }
    SECTION("sent without an answer") {
        log.set_extra_delay(10s);
        const auto outcome = propose(node.writer, ticket_record(1, "pongau"), 3s);
        loop.run_for(4s);
        REQUIRE(outcome->has_value());
        CHECK(outcome->value().error().kind == failure_kind::timed_out);
    }
    SECTION("an outage shorter than the patience passes unseen") {
        log.set_down(true);
        const auto outcome = propose(node.writer, ticket_record(1, "pongau"), 30s);
        loop.run_for(10s);
        CHECK_FALSE(outcome->has_value());
        log.set_down(false);
        loop.run_for(10s);
        REQUIRE(outcome->has_value());
        CHECK(outcome->value());
    }
}

TEST_CASE("A writer that was replaced is fenced", "[log_writer]") {
    virtual_runtime loop(1);
    fakes::fake_log log(loop, {});
    ledger_node older(loop, log, "e1", 1);
    ledger_node newer(loop, log, "e1", 2);
    propose(newer.writer, ticket_record(1, "pongau"));
    loop.run_for(1s);

    const auto late = propose(older.writer, ticket_record(2, "flachgau"));
    loop.run_for(1s);
    REQUIRE(late->has_value());
    REQUIRE_FALSE(late->value());
    CHECK(late->value().error().kind == failure_kind::fenced);
    CHECK(newer.tickets.history().size() == 1);
}

TEST_CASE("Appends stay within the log's limit", "[log_writer]") {
    virtual_runtime loop(1);
    fakes::fake_log log(loop, {.append_limit = 20});
    ledger_node node(loop, log, "e1");
    std::uint64_t number = 0;
    std::uint64_t accepted = 0;
    for (int turn = 0; turn < 500; ++turn) {
        node.writer.propose(ticket_record(++number, "pongau"), 60s,
                            [&](const auto& outcome) { accepted += outcome ? 1 : 0; });
        loop.run_for(10ms);
    }
    loop.run_for(30s);
    CHECK(accepted == 500);
    CHECK(node.writer.counters().over_limit > 0);
    CHECK(log.end() <= std::uint64_t{20} * 36);
}

TEST_CASE("A writer slows down at the log's limit and speeds up again", "[log_writer]") {
    virtual_runtime loop(1);
    fakes::fake_log log(loop, {.append_limit = 20});
    ledger_node node(loop, log, "e1");
    const auto least = node.writer.pace();
    std::uint64_t number = 0;
    const auto propose_one = [&] {
        propose(node.writer, ticket_record(++number, "pongau"));
        loop.run_for(10ms);
    };
    for (int turn = 0; turn < 200; ++turn) {
        propose_one();
    }
    CHECK(node.writer.pace() > least);
    CHECK(node.writer.pace() <= log_writer::options{}.append_interval_most);

    for (int turn = 0; turn < 200; ++turn) {
        propose(node.writer, ticket_record(++number, "pongau"));
        loop.run_for(1s);
    }
    CHECK(node.writer.pace() == least);
}
