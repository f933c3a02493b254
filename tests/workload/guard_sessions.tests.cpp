#include "baobabrack/workload/guard_sessions.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{100s};

wire::WorkloadReport make_report(std::uint64_t incarnation, std::uint64_t sequence,
                                 std::uint64_t term = 5) {
    wire::WorkloadReport message;
    message.set_host("h");
    message.set_guard_incarnation(incarnation);
    message.set_sequence(sequence);
    message.set_term(term);
    message.set_lists_known(true);
    return message;
}

std::uint64_t get_token_base(guard_sessions& sessions) {
    wire::WorkloadOrders orders;
    sessions.fill_header(host_id{"h"}, orders);
    return orders.token_base();
}

}  // namespace

TEST_CASE("A report older than the latest one is ignored", "[sessions]") {
    guard_sessions sessions;
    sessions.begin_term(5);
    CHECK(sessions.accept_report(make_report(7, 2), now) != nullptr);
    CHECK(sessions.accept_report(make_report(7, 1), now) == nullptr);
    CHECK(sessions.accept_report(make_report(6, 9), now) == nullptr);
}

TEST_CASE("Fencing tokens increase with each guard process and each term", "[sessions]") {
    guard_sessions sessions;
    sessions.begin_term(5);
    sessions.accept_report(make_report(7, 1), now);
    const auto first = get_token_base(sessions);
    sessions.accept_report(make_report(8, 1), now);
    const auto second = get_token_base(sessions);
    CHECK(second > first);
    sessions.begin_term(6);
    sessions.accept_report(make_report(7, 1), now);
    CHECK(get_token_base(sessions) > second);
}

TEST_CASE("A guard with a lower incarnation is accepted once the earlier process is silent",
          "[sessions]") {
    guard_sessions sessions;
    sessions.begin_term(5);
    sessions.accept_report(make_report(9000, 1), now);
    CHECK(sessions.accept_report(make_report(6600, 1), now + 500ms) == nullptr);
    CHECK(sessions.accept_report(make_report(6600, 3), now + 1500ms) != nullptr);
}

TEST_CASE("Lists that were reported under an earlier leader do not count as known", "[sessions]") {
    guard_sessions sessions;
    sessions.begin_term(5);
    REQUIRE(sessions.accept_report(make_report(7, 1, 4), now) != nullptr);
    CHECK_FALSE(sessions.find(host_id{"h"})->lists_known);
    CHECK_FALSE(sessions.all_lists_known({"h"}));
    sessions.accept_report(make_report(7, 2, 5), now);
    CHECK(sessions.all_lists_known({"h"}));
    CHECK_FALSE(sessions.all_lists_known({"h", "other"}));
}

TEST_CASE("Reports that name any number of hosts are accepted from a bounded number",
          "[sessions]") {
    guard_sessions sessions;
    sessions.begin_term(5);
    std::size_t accepted = 0;
    for (int i = 0; i < 5000; ++i) {
        auto report = make_report(7, 1);
        report.set_host("h" + std::to_string(i));
        accepted += sessions.accept_report(report, now) != nullptr ? 1 : 0;
    }
    CHECK(accepted == 4096);
    auto known = make_report(7, 2);
    known.set_host("h0");
    CHECK(sessions.accept_report(known, now + 59s) != nullptr);
    CHECK(sessions.accept_report(make_report(7, 1), now + 59s) == nullptr);
    CHECK(sessions.accept_report(make_report(7, 1), now + 61s) != nullptr);
}
