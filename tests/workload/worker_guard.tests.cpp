#include "baobabrack/workload/worker_guard.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "baobabrack/workload/report_codec.hpp"
#include "fakes/fake_network.hpp"
#include "fakes/process_runtime.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

/// A worker whose answers are given by the test.
class scripted_worker : public worker_port {
public:
    struct pending_renewal {
        renew_call call;
        std::function<void(renew_reply)> answer;
    };
    struct pending_start {
        start_call call;
        std::function<void(call_reply)> answer;
    };

    std::vector<pending_renewal> renewals;
    std::vector<pending_start> starts;
    std::vector<std::function<void(call_reply)>> stops;

    void renew(const renew_call& call, std::function<void(renew_reply)> done) override {
        renewals.push_back({call, std::move(done)});
    }
    void start(const start_call& call, std::function<void(call_reply)> done) override {
        starts.push_back({call, std::move(done)});
    }
    void stop(const stop_call& /*call*/, std::function<void(call_reply)> done) override {
        stops.push_back(std::move(done));
    }
};

/// A guard with a scripted worker and a leader whose messages are sent by the test.
class guard_fixture {
public:
    guard_fixture()
        : network_(loop, {}),
          leader_(network_.attach("leader")),
          own_(network_.attach("h")),
          guard_loop_(loop),
          guard({.host = host_id{"h"},
                 .version = incarnation{1},
                 .zmq_endpoint = "h",
                 .seeds = {"leader"},
                 .data_centre = data_centre_id{"north"},
                 .evacuation_bound = 5s},
                guard_loop_, *own_, worker, metrics) {
        leader_->connect("h", "h");
        leader_->on_message([this](const std::string&, const wire::PeerMessage& message) {
            if (message.kind_case() == wire::PeerMessage::kWorkloadReport) {
                newest_report = message.workload_report();
            }
        });
        guard.start();
    }

    virtual_runtime loop{1};
    scripted_worker worker;
    metrics_registry metrics;
    wire::WorkloadReport newest_report;
    std::optional<wall_time> instance_began;
    std::uint64_t granted_ms = 6000;
    /// What the orders tell about evacuations, if anything.
    std::optional<wire::WorkloadEvacuations> evacuations;

private:
    fakes::fake_network network_;
    std::unique_ptr<peer_network> leader_;
    std::unique_ptr<peer_network> own_;
    fakes::process_runtime guard_loop_;
    std::uint64_t orders_ = 0;

public:
    worker_guard guard;

    void announce(std::uint64_t instance, std::int64_t clock, std::uint32_t accelerators = 8) {
        worker_announcement announcement;
        announcement.facts.instance = {
            .host = host_id{"h"}, .worker = worker_id{"w"}, .version = incarnation{instance}};
        announcement.facts.capacity = {.cpu = cpu_millicores{8000},
                                       .memory = memory_mib{8000},
                                       .accelerators = accelerator_count{accelerators}};
        announcement.sequence = ++sequence_;
        announcement.clock = worker_time{clock};
        announcement.began = instance_began;
        guard.announce(announcement);
        loop.run_for(5ms);
    }

    void order(worker_orders orders, std::uint64_t instance, std::uint64_t term = 5) {
        send(make_order(std::move(orders), instance, term));
    }

    void send(const wire::PeerMessage& message) {
        leader_->send("h", message);
        loop.run_for(5ms);
    }

    /// Sets what the next orders tell about evacuations.
    ///
    /// @param confirmed_ms since when it holds, from when the guard's newest report was sent
    void tell_evacuations(const std::vector<std::string>& zones, std::int64_t confirmed_ms) {
        evacuations.emplace();
        for (const auto& zone : zones) {
            evacuations->add_data_centres(zone);
        }
        evacuations->set_confirmed(true);
        evacuations->set_confirmed_ms(confirmed_ms);
    }

    wire::PeerMessage make_order(worker_orders orders, std::uint64_t instance,
                                 std::uint64_t term = 5) {
        wire::PeerMessage out;
        auto& message = *out.mutable_workload_orders();
        orders.worker = {
            .host = host_id{"h"}, .worker = worker_id{"w"}, .version = incarnation{instance}};
        to_wire(orders, message);
        message.set_term(term);
        message.set_sequence(++orders_);
        message.set_guard_incarnation(1);
        message.set_token_base(term * 1000);
        message.set_zmq_endpoint("leader");
        message.set_report_sequence(newest_report.sequence());
        message.set_report_sent_at_us(newest_report.sent_at_us());
        message.set_granted_ms(granted_ms);
        if (evacuations) {
            *message.mutable_evacuations() = *evacuations;
        }
        return out;
    }

    /// Lets time pass while the worker announces itself and answers renewals with empty lists.
    void keep_alive(duration span) {
        for (duration passed{}; passed < span; passed += 100ms) {
            announce(1, 1100 + std::chrono::milliseconds{alive_ += 100ms}.count());
            answer_renewal({}, 1105 + std::chrono::milliseconds{alive_}.count());
            loop.run_for(90ms);
        }
    }

    /// Pauses the guard's timers.
    void pause(duration span) {
        guard_loop_.pause();
        loop.run_for(span);
        guard_loop_.resume();
        loop.run_for(5ms);
    }

    void answer_renewal(run_lists lists, std::int64_t clock) {
        const auto renewal = worker.renewals.back();
        renewal.answer({.reply = {.outcome = call_outcome::accepted, .clock = worker_time{clock}},
                        .lists = std::move(lists)});
        loop.run_for(5ms);
    }

private:
    std::uint64_t sequence_ = 0;
    std::chrono::milliseconds alive_{};
};

const task_name task{.step = {.job = job_id{"j"}}};

start_order wanted(std::uint32_t accelerators = 1) {
    return {.task = task,
            .run = run_number{1},
            .payload = "p",
            .checkpoint = "",
            .needs = {.cpu = cpu_millicores{1},
                      .memory = memory_mib{1},
                      .accelerators = accelerator_count{accelerators}}};
}

worker_orders start_of(const start_order& run) {
    return {.worker = {}, .ends_stored = 0, .starts = {run}, .stops = {}};
}

}  // namespace

TEST_CASE("A guard starts nothing before it has the worker's lists under its leader", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order(start_of(wanted()), 1);
    CHECK(fixture.worker.starts.empty());
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted()), 1);
    REQUIRE(fixture.worker.starts.size() == 1);
    fixture.order(start_of(wanted()), 1);
    CHECK(fixture.worker.starts.size() == 1);
}

// Guards against a gang that waits for a lost start: the worker leaves a start unanswered and may
// carry it out seconds later, while the other runs of the gang wait for it.
TEST_CASE("A start without an answer is sent again after a renewal with a higher token",
          "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted()), 1);
    REQUIRE(fixture.worker.starts.size() == 1);
    const auto first = fixture.worker.starts[0].call;
    const auto before = fixture.worker.renewals.size();
    fixture.worker.starts[0].answer({.outcome = call_outcome::unanswered});
    fixture.loop.run_for(5ms);
    REQUIRE(fixture.worker.renewals.size() == before + 1);
    CHECK(fixture.worker.renewals.back().call.token > first.token);
    CHECK(fixture.worker.starts.size() == 1);
    CHECK(fixture.newest_report.refusals().empty());
    CHECK(fixture.newest_report.runs_size() == 1);
    fixture.answer_renewal({}, 1100);
    REQUIRE(fixture.worker.starts.size() == 2);
    CHECK(fixture.worker.starts[1].call.token > first.token);
    CHECK(fixture.worker.starts[1].call.run.run == first.run.run);
    CHECK(fixture.newest_report.refusals().empty());
}

TEST_CASE("A start that never gets an answer is refused after several attempts", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted()), 1);
    for (std::size_t attempts = 1; fixture.newest_report.refusals().empty() && attempts < 20;
         ++attempts) {
        REQUIRE(fixture.worker.starts.size() == attempts);
        fixture.worker.starts.back().answer({.outcome = call_outcome::unanswered});
        fixture.loop.run_for(5ms);
        fixture.answer_renewal({}, 1010 + static_cast<std::int64_t>(attempts) * 10);
    }
    CHECK(fixture.newest_report.refusals_size() == 1);
    CHECK(fixture.newest_report.runs().empty());
    CHECK(fixture.worker.starts.size() > 1);
}

TEST_CASE("A stop without an answer is sent again once the worker answers", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 1010);
    const worker_orders stop{.worker = {},
                             .ends_stored = 0,
                             .starts = {},
                             .stops = {{.task = task, .run = run_number{1}}}};
    fixture.order(stop, 1);
    REQUIRE(fixture.worker.stops.size() == 1);
    fixture.worker.stops[0]({.outcome = call_outcome::unanswered});
    CHECK(fixture.worker.stops.size() == 1);
    fixture.answer_renewal({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 1300);
    REQUIRE(fixture.worker.stops.size() == 2);
    fixture.worker.stops[1]({.outcome = call_outcome::accepted});
    fixture.answer_renewal({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 1400);
    CHECK(fixture.worker.stops.size() == 2);
}

TEST_CASE("A start that is to be stopped is not sent again", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted()), 1);
    fixture.order({.worker = {},
                   .ends_stored = 0,
                   .starts = {},
                   .stops = {{.task = task, .run = run_number{1}}}},
                  1);
    fixture.worker.starts[0].answer({.outcome = call_outcome::unanswered});
    fixture.loop.run_for(5ms);
    fixture.answer_renewal({}, 1100);
    CHECK(fixture.worker.starts.size() == 1);
    CHECK(fixture.newest_report.refusals_size() == 1);
}

TEST_CASE("A start that is fenced after the loss of another call is sent again", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted()), 1);
    const auto first = fixture.worker.starts[0].call.token;
    fixture.worker.starts[0].answer({.outcome = call_outcome::fenced, .clock = worker_time{1050}});
    fixture.loop.run_for(5ms);
    REQUIRE(fixture.worker.starts.size() == 2);
    CHECK(fixture.worker.starts[1].call.token > first);
    CHECK(fixture.newest_report.refusals().empty());
}

TEST_CASE("A start is not considered lost while the list of ends is incomplete", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted()), 1);
    fixture.worker.starts[0].answer({.outcome = call_outcome::unanswered});
    fixture.loop.run_for(5ms);
    fixture.answer_renewal({.runs = {}, .ends = {}, .incomplete = true}, 1100);
    CHECK(fixture.worker.starts.size() == 1);
    CHECK(fixture.newest_report.refusals().empty());
    CHECK(fixture.newest_report.runs_size() == 1);
}

// Its start was sent by an earlier guard, and the run may have completed since.
TEST_CASE("A run is neither started nor refused while the list of ends is incomplete", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({.runs = {}, .ends = {}, .incomplete = true}, 1010);
    SECTION("start") {
        fixture.order(start_of(wanted()), 1);
    }
    SECTION("stop") {
        worker_orders orders;
        orders.stops.push_back({.task = task, .run = run_number{1}});
        fixture.order(orders, 1);
    }
    CHECK(fixture.worker.starts.empty());
    CHECK(fixture.newest_report.refusals().empty());
    fixture.answer_renewal({}, 1020);
    fixture.order(start_of(wanted()), 1);
    CHECK(fixture.worker.starts.size() == 1);
}

// The worker also rejects the start of a run that has completed, which an earlier guard started.
TEST_CASE("A start that the worker calls outdated is refused only if no end is listed", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted()), 1);
    fixture.worker.starts.at(0).answer(
        {.outcome = call_outcome::outdated, .clock = worker_time{1050}});
    fixture.loop.run_for(5ms);
    CHECK(fixture.newest_report.refusals().empty());
    SECTION("an end is listed") {
        fixture.answer_renewal({.runs = {},
                                .ends = {{.sequence = 1,
                                          .task = task,
                                          .run = run_number{1},
                                          .outcome = run_outcome::done,
                                          .checkpoint = ""}}},
                               1100);
        CHECK(fixture.newest_report.refusals().empty());
        CHECK(fixture.newest_report.ends_size() == 1);
    }
    SECTION("no end is listed") {
        fixture.answer_renewal({}, 1100);
        CHECK(fixture.newest_report.refusals_size() == 1);
    }
    CHECK(fixture.worker.starts.size() == 1);
}

// The worker's id is all that a call names, so the new instance carried out what was meant for the
// previous one, and forgot ends that no one had seen.
TEST_CASE("Nothing is started or acknowledged while another instance may run under the worker's id",
          "[guard]") {
    const auto outcome =
        GENERATE(call_outcome::other_worker, call_outcome::disconnected, call_outcome::unreachable);
    guard_fixture fixture;
    fixture.announce(1, 1000);
    worker_orders stored;
    stored.ends_stored = 7;
    fixture.order(stored, 1);
    fixture.answer_renewal({}, 1010);
    REQUIRE(fixture.worker.renewals.back().call.acknowledged_ends == 7);
    fixture.worker.renewals.back().answer({.reply = {.outcome = outcome}});
    fixture.loop.run_for(5ms);
    fixture.order(start_of(wanted()), 1);
    fixture.loop.run_for(250ms);
    CHECK(fixture.worker.starts.empty());
    CHECK(fixture.newest_report.refusals().empty());
    CHECK(fixture.worker.renewals.back().call.acknowledged_ends == 0);
    CHECK_FALSE(fixture.worker.renewals.back().call.lease_until);
    fixture.answer_renewal({}, 1300);
    fixture.order(start_of(wanted()), 1);
    CHECK(fixture.worker.starts.size() == 1);
}

// The worker's clock may have been stopped with the guard, so that its lease is not over.
TEST_CASE("After a pause of the guard its worker's lease may last as long as the longest one",
          "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order({}, 1);
    fixture.loop.run_for(2s);
    CHECK(fixture.newest_report.lease_left_ms() <= 8000);
    fixture.pause(7s);
    CHECK(fixture.newest_report.lease_suspended());
    CHECK(fixture.newest_report.lease_left_ms() > 9000);
}

// Grants for reports that the leader ignored kept a worker's lease longer than the leader expected.
TEST_CASE("Orders without a grant neither extend the lease nor acknowledge that the worker is back",
          "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order({}, 1);
    fixture.loop.run_for(2s);
    REQUIRE(fixture.newest_report.lease_suspended());
    fixture.answer_renewal({}, 3100);
    fixture.answer_renewal({}, 3110);
    REQUIRE_FALSE(fixture.newest_report.lease_suspended());
    fixture.granted_ms = 0;
    fixture.order({}, 1);
    CHECK_FALSE(fixture.worker.renewals.back().call.lease_until);
    fixture.granted_ms = 6000;
    fixture.order({}, 1);
    fixture.answer_renewal({}, 3200);
    CHECK(fixture.worker.renewals.back().call.lease_until);
}

TEST_CASE("A new instance of the worker is called with a higher token", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    const auto before = fixture.worker.renewals.back().call.token;
    fixture.announce(2, 50);
    CHECK(fixture.worker.renewals.back().call.token > before);
}

TEST_CASE("An unanswered start that the run lists show counts as a run", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted()), 1);
    fixture.worker.starts.at(0).answer({.outcome = call_outcome::unanswered});
    fixture.loop.run_for(5ms);
    fixture.answer_renewal({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 1100);
    CHECK(fixture.newest_report.refusals().empty());
    CHECK(fixture.newest_report.runs_size() == 1);
}

TEST_CASE("Orders of an earlier term are not carried out", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1, 7);
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted()), 1, 5);
    CHECK(fixture.worker.starts.empty());
}

TEST_CASE("A start that does not fit beside the guard's own starts is refused", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    auto second = wanted(5);
    second.run = run_number{2};
    fixture.order(start_of(wanted(5)), 1);
    fixture.order(start_of(second), 1);
    CHECK(fixture.worker.starts.size() == 1);
    CHECK(fixture.newest_report.refusals_size() == 1);
}

TEST_CASE("A late answer of an earlier worker instance does not update the clock of the lease",
          "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 900'000);
    fixture.order({}, 1);
    fixture.answer_renewal({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 900'010);
    fixture.order({.worker = {}, .ends_stored = 0, .starts = {}, .stops = {{task, run_number{1}}}},
                  1);
    REQUIRE(fixture.worker.stops.size() == 1);
    fixture.announce(2, 50);
    fixture.worker.stops[0]({.outcome = call_outcome::accepted, .clock = worker_time{900'500}});
    fixture.order({}, 2);
    // The answer has no clock, so that the next renewal uses the clock reading recorded last.
    fixture.worker.renewals.back().answer({.reply = {.outcome = call_outcome::accepted}});
    fixture.loop.run_for(5ms);
    REQUIRE(fixture.worker.renewals.back().call.worker.version == incarnation{2});
    REQUIRE(fixture.worker.renewals.back().call.lease_until);
    CHECK(fixture.worker.renewals.back().call.lease_until->get() < 10'000);
}

TEST_CASE("A worker instance that appears older is accepted once the known one is unresponsive",
          "[guard]") {
    guard_fixture fixture;
    fixture.announce(9000, 1000);
    fixture.order({}, 9000);
    fixture.answer_renewal({}, 1010);
    fixture.announce(6600, 50);
    CHECK(fixture.worker.renewals.back().call.worker.version == incarnation{9000});
    fixture.loop.run_for(2s);
    fixture.announce(6600, 2050);
    fixture.loop.run_for(600ms);
    CHECK(fixture.worker.renewals.back().call.worker.version == incarnation{6600});
}

TEST_CASE("A start is not sent again beyond a capacity that has shrunk meanwhile",
          "[guard][capacity]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.order(start_of(wanted(4)), 1);
    REQUIRE(fixture.worker.starts.size() == 1);
    fixture.worker.starts[0].answer({.outcome = call_outcome::unanswered});
    fixture.loop.run_for(5ms);
    fixture.announce(1, 1050, 2);
    fixture.answer_renewal({}, 1100);
    CHECK(fixture.worker.starts.size() == 1);
    CHECK(fixture.newest_report.refusals_size() == 1);
}

TEST_CASE("A guard starts nothing on a capacity that was announced too long ago",
          "[guard][capacity]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    for (std::int64_t clock = 1500; clock <= 6000; clock += 500) {
        fixture.loop.run_for(495ms);
        fixture.answer_renewal({}, clock);
    }
    SECTION("the next announcement allows it") {
        fixture.order(start_of(wanted()), 1);
        CHECK(fixture.worker.starts.empty());
        CHECK(fixture.newest_report.refusals().empty());
        fixture.announce(1, 6030);
        fixture.order(start_of(wanted()), 1);
        CHECK(fixture.worker.starts.size() == 1);
    }
    // While the guard is paused, an announcement waits in the socket.
    SECTION("an announcement that arrives late does not") {
        fixture.announce(1, 2000);
        fixture.order(start_of(wanted()), 1);
        CHECK(fixture.worker.starts.empty());
    }
}

// The order is as old as the leader's knowledge of the capacity.
TEST_CASE("A guard counts the runs that an earlier guard has started", "[guard][capacity]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    const task_name other{.step = {.job = job_id{"other"}}};
    fixture.answer_renewal({.runs = {{.task = other, .run = run_number{1}}}, .ends = {}}, 1010);
    REQUIRE(fixture.newest_report.runs_size() == 1);
    CHECK(fixture.newest_report.runs(0).needs_unknown());
    auto orders = start_of(wanted(3));
    orders.needs = {
        {.task = other, .run = run_number{1}, .needs = {.accelerators = accelerator_count{4}}}};
    SECTION("a start beyond the capacity is refused") {
        fixture.announce(1, 1050, 6);
        fixture.order(orders, 1);
        CHECK(fixture.worker.starts.empty());
        CHECK(fixture.newest_report.refusals_size() == 1);
    }
    SECTION("a start within the capacity is sent") {
        fixture.order(orders, 1);
        CHECK(fixture.worker.starts.size() == 1);
        fixture.loop.run_for(600ms);
        CHECK_FALSE(fixture.newest_report.runs(0).needs_unknown());
    }
    SECTION("a run that has ended does not count") {
        fixture.order(
            {.worker = {}, .ends_stored = 0, .starts = {}, .stops = {}, .needs = orders.needs}, 1);
        fixture.announce(1, 1050, 6);
        fixture.answer_renewal({}, 1100);
        fixture.order(start_of(wanted(3)), 1);
        CHECK(fixture.worker.starts.size() == 1);
    }
}

TEST_CASE("A change of the worker's capacity is reported at once", "[guard][capacity]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.announce(1, 1100, 3);
    CHECK(fixture.newest_report.worker().accelerators() == 3);
}

TEST_CASE("A start of a suspected task is sent only to a worker that has just responded",
          "[guard][crashes]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.loop.run_for(100ms);
    auto run = wanted();
    run.confirm_worker = true;
    const auto renewals = fixture.worker.renewals.size();
    fixture.order(start_of(run), 1);
    CHECK(fixture.worker.starts.empty());
    REQUIRE(fixture.worker.renewals.size() == renewals + 1);
    CHECK(fixture.worker.renewals.back().call.wait == duration::zero());
    SECTION("it is sent once the worker responds") {
        fixture.order(start_of(run), 1);
        CHECK(fixture.worker.renewals.size() == renewals + 1);
        fixture.answer_renewal({}, 1120);
        CHECK(fixture.worker.starts.size() == 1);
    }
    SECTION("it is not sent if the worker does not respond") {
        fixture.worker.renewals.back().answer({.reply = {.outcome = call_outcome::unanswered}});
        fixture.loop.run_for(300ms);
        fixture.answer_renewal({}, 1420);
        CHECK(fixture.worker.starts.empty());
        CHECK(fixture.newest_report.refusals().empty());
        fixture.order(start_of(run), 1);
        fixture.answer_renewal({}, 1430);
        CHECK(fixture.worker.starts.size() == 1);
    }
    SECTION("it is not sent if the capacity has shrunk meanwhile") {
        fixture.announce(1, 1110, 0);
        fixture.answer_renewal({}, 1120);
        CHECK(fixture.worker.starts.empty());
        CHECK(fixture.newest_report.refusals_size() == 1);
    }
    SECTION("it is not sent after it was cancelled") {
        fixture.order({.worker = {},
                       .ends_stored = 0,
                       .starts = {},
                       .stops = {{.task = task, .run = run_number{1}}}},
                      1);
        fixture.answer_renewal({}, 1120);
        CHECK(fixture.worker.starts.empty());
        CHECK(fixture.newest_report.refusals_size() == 1);
    }
}

TEST_CASE("Reports tell which starts the previous instance of the worker got", "[guard][crashes]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    const task_name listed{.step = {.job = job_id{"listed"}}};
    fixture.answer_renewal({.runs = {{.task = listed, .run = run_number{3}}}, .ends = {}}, 1010);
    fixture.order(start_of(wanted()), 1);
    REQUIRE(fixture.worker.starts.size() == 1);
    const bool accepted = GENERATE(false, true);
    if (accepted) {
        fixture.worker.starts[0].answer(
            {.outcome = call_outcome::accepted, .clock = worker_time{1020}});
    }
    fixture.announce(2, 10);
    const auto previous = fixture.newest_report.previous_runs();
    REQUIRE(previous.size() == 2);
    CHECK(fixture.newest_report.previous_worker().incarnation() == 1);
    CHECK(previous[0].task().job() == "listed");
    CHECK(previous[0].begun());
    CHECK(previous[1].task().job() == "j");
    CHECK(previous[1].begun() == accepted);
    fixture.loop.run_for(40s);
    CHECK_FALSE(fixture.newest_report.has_previous_worker());
}

// A renewal may be answered after another one has been sent.
TEST_CASE("Lists are as old as the renewal that returned them", "[guard]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    const auto first = fixture.worker.renewals.back();
    fixture.loop.run_for(400ms);
    auto run = wanted();
    run.confirm_worker = true;
    fixture.order(start_of(run), 1);
    REQUIRE(fixture.worker.renewals.size() > 1);
    first.answer({.reply = {.outcome = call_outcome::accepted, .clock = worker_time{1410}}});
    fixture.loop.run_for(100ms);
    CHECK(fixture.newest_report.lists_age_ms() >= 400);
}

// The clock of a worker starts anywhere, so a new leader took a crash for a loss of all power.
TEST_CASE("The reported age of a worker does not depend on what its clock shows",
          "[guard][crashes]") {
    guard_fixture fixture;
    const auto clock = GENERATE(1000, 9'000'000);
    fixture.announce(1, clock);
    fixture.loop.run_for(2s);
    CHECK(fixture.newest_report.worker_age_ms() <= 2100);
    CHECK(fixture.newest_report.worker_age_ms() >= 1400);
    SECTION("a guard that was started later knows when the worker began") {
        fixture.instance_began = fixture.loop.wall_now() - 40s;
        fixture.announce(2, clock);
        CHECK(fixture.newest_report.worker_age_ms() >= 40'000);
        CHECK(fixture.newest_report.worker_age_ms() <= 40'100);
    }
    SECTION("the wall clock was set back") {
        fixture.instance_began = fixture.loop.wall_now() + 40s;
        fixture.announce(2, clock);
        fixture.loop.run_for(2s);
        CHECK(fixture.newest_report.worker_age_ms() <= 2100);
        CHECK(fixture.newest_report.worker_age_ms() >= 1400);
    }
}

TEST_CASE("A guard starts nothing in an evacuated data centre", "[guard][evacuation]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.tell_evacuations({"north"}, 0);
    fixture.order(start_of(wanted()), 1);
    CHECK(fixture.worker.starts.empty());
    REQUIRE(fixture.newest_report.refusals_size() == 1);
    CHECK(fixture.newest_report.refusals(0).reason() == "the data centre is evacuated");
    SECTION("until the evacuation is revoked") {
        fixture.tell_evacuations({"south"}, 0);
        auto next = wanted();
        next.run = run_number{2};
        fixture.order(start_of(next), 1);
        CHECK(fixture.worker.starts.size() == 1);
    }
}

// An order that a leader sent before an evacuation may arrive seconds later.
TEST_CASE("A late order starts nothing once its information is older than the bound allows",
          "[guard][evacuation]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.tell_evacuations({}, -200);
    const auto order = fixture.make_order(start_of(wanted()), 1);
    SECTION("late") {
        fixture.keep_alive(3400ms);
        fixture.send(order);
        CHECK(fixture.worker.starts.empty());
        CHECK(fixture.newest_report.refusals().empty());
        fixture.tell_evacuations({}, -200);
        fixture.order(start_of(wanted()), 1);
        CHECK(fixture.worker.starts.size() == 1);
    }
    SECTION("in time") {
        fixture.keep_alive(2500ms);
        fixture.send(order);
        CHECK(fixture.worker.starts.size() == 1);
    }
}

TEST_CASE("A guard starts nothing for a leader that has not confirmed the evacuations",
          "[guard][evacuation]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.evacuations.emplace();
    fixture.order(start_of(wanted()), 1);
    CHECK(fixture.worker.starts.empty());
}

TEST_CASE("A lost start is not sent again after the bound", "[guard][evacuation]") {
    guard_fixture fixture;
    fixture.announce(1, 1000);
    fixture.order({}, 1);
    fixture.answer_renewal({}, 1010);
    fixture.tell_evacuations({}, -2500);
    fixture.order(start_of(wanted()), 1);
    REQUIRE(fixture.worker.starts.size() == 1);
    SECTION("as the data centre has been evacuated") {
        fixture.tell_evacuations({"north"}, 0);
        fixture.order({}, 1);
    }
    SECTION("as the information is too old") {
        fixture.keep_alive(1000ms);
    }
    fixture.worker.starts[0].answer({.outcome = call_outcome::unanswered});
    fixture.loop.run_for(5ms);
    fixture.answer_renewal({}, 3000);
    CHECK(fixture.worker.starts.size() == 1);
    CHECK(fixture.newest_report.refusals_size() == 1);
}
