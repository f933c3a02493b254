#include "baobabrack/workload/worker_guard.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "baobabrack/workload/report_codec.hpp"
#include "fakes/fake_network.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

/// A worker whose answers a test gives by hand.
class scripted_worker : public worker_port {
public:
    struct held_call {
        hold_call call;
        std::function<void(hold_reply)> answer;
    };
    struct started_call {
        start_call call;
        std::function<void(call_reply)> answer;
    };

    std::vector<held_call> holds;
    std::vector<started_call> starts;
    std::vector<std::function<void(call_reply)>> stops;

    void hold(const hold_call& call, std::function<void(hold_reply)> done) override {
        holds.push_back({call, std::move(done)});
    }
    void start(const start_call& call, std::function<void(call_reply)> done) override {
        starts.push_back({call, std::move(done)});
    }
    void stop(const stop_call& /*call*/, std::function<void(call_reply)> done) override {
        stops.push_back(std::move(done));
    }
};

/// A guard with a scripted worker and a leader whose messages a test writes.
class rig {
public:
    rig()
        : network_(loop, {}),
          leader_(network_.attach("leader")),
          own_(network_.attach("h")),
          guard({.host = host_id{"h"},
                 .life = incarnation{1},
                 .zmq_endpoint = "h",
                 .seeds = {"leader"}},
                loop, *own_, worker, metrics) {
        leader_->connect("h", "h");
        leader_->on_message([this](const std::string&, const wire::PeerMessage& message) {
            if (message.kind_case() == wire::PeerMessage::kWorkloadReport) {
                newest = message.workload_report();
            }
        });
        guard.start();
    }

    virtual_runtime loop{1};
    scripted_worker worker;
    metrics_registry metrics;
    wire::WorkloadReport newest;

private:
    fakes::fake_network network_;
    std::unique_ptr<peer_network> leader_;
    std::unique_ptr<peer_network> own_;
    std::uint64_t orders_ = 0;

public:
    worker_guard guard;

    void announce(std::uint64_t life, std::int64_t clock) {
        worker_announcement word;
        word.facts.life = {
            .host = host_id{"h"}, .worker = worker_id{"w"}, .version = incarnation{life}};
        word.facts.capacity = {.cpu = cpu_millicores{8000},
                               .memory = memory_mib{8000},
                               .accelerators = accelerator_count{8}};
        word.sequence = ++sequence_;
        word.clock = worker_clock{clock};
        guard.announce(word);
        loop.run_for(5ms);
    }

    void order(worker_orders orders, std::uint64_t life, std::uint64_t term = 5) {
        wire::PeerMessage out;
        auto& message = *out.mutable_workload_orders();
        orders.worker = {
            .host = host_id{"h"}, .worker = worker_id{"w"}, .version = incarnation{life}};
        to_wire(orders, message);
        message.set_term(term);
        message.set_sequence(++orders_);
        message.set_guard_incarnation(1);
        message.set_token_base(term * 1000);
        message.set_zmq_endpoint("leader");
        message.set_report_sequence(newest.sequence());
        message.set_report_sent_at_us(newest.sent_at_us());
        message.set_granted_ms(6000);
        leader_->send("h", out);
        loop.run_for(5ms);
    }

    void answer_hold(hold_lists lists, std::int64_t clock) {
        const auto held = worker.holds.back();
        held.answer({.reply = {.end = call_end::accepted, .clock = worker_clock{clock}},
                     .lists = std::move(lists)});
        loop.run_for(5ms);
    }

private:
    std::uint64_t sequence_ = 0;
};

const task_name task{.step = {.job = job_id{"j"}}};

wanted_run wanted(std::uint32_t accelerators = 1) {
    return {.task = task,
            .run = run_number{1},
            .payload = "p",
            .checkpoint = "",
            .needs = {.cpu = cpu_millicores{1},
                      .memory = memory_mib{1},
                      .accelerators = accelerator_count{accelerators}}};
}

worker_orders start_of(const wanted_run& run) {
    return {.worker = {}, .ends_stored = 0, .starts = {run}, .stops = {}};
}

}  // namespace

TEST_CASE("A guard starts nothing before it has the worker's lists under its leader", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order(start_of(wanted()), 1);
    CHECK(world.worker.starts.empty());
    world.answer_hold({}, 1010);
    world.order(start_of(wanted()), 1);
    REQUIRE(world.worker.starts.size() == 1);
    world.order(start_of(wanted()), 1);
    CHECK(world.worker.starts.size() == 1);
}

// The load: a worker leaves orders unanswered and carries them out seconds later, while the other
// runs of a gang wait.
TEST_CASE("A start without an answer is sent again once a higher token has asked", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order({}, 1);
    world.answer_hold({}, 1010);
    world.order(start_of(wanted()), 1);
    REQUIRE(world.worker.starts.size() == 1);
    const auto first = world.worker.starts[0].call;
    const auto before = world.worker.holds.size();
    world.worker.starts[0].answer({.end = call_end::unanswered});
    world.loop.run_for(5ms);
    REQUIRE(world.worker.holds.size() == before + 1);
    CHECK(world.worker.holds.back().call.token > first.token);
    CHECK(world.worker.starts.size() == 1);
    CHECK(world.newest.refusals().empty());
    CHECK(world.newest.runs_size() == 1);
    world.answer_hold({}, 1100);
    REQUIRE(world.worker.starts.size() == 2);
    CHECK(world.worker.starts[1].call.token > first.token);
    CHECK(world.worker.starts[1].call.run.run == first.run.run);
    CHECK(world.newest.refusals().empty());
}

TEST_CASE("A start that never gets an answer is refused after some tries", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order({}, 1);
    world.answer_hold({}, 1010);
    world.order(start_of(wanted()), 1);
    for (std::size_t tries = 1; world.newest.refusals().empty() && tries < 20; ++tries) {
        REQUIRE(world.worker.starts.size() == tries);
        world.worker.starts.back().answer({.end = call_end::unanswered});
        world.loop.run_for(5ms);
        world.answer_hold({}, 1010 + static_cast<std::int64_t>(tries) * 10);
    }
    CHECK(world.newest.refusals_size() == 1);
    CHECK(world.newest.runs().empty());
    CHECK(world.worker.starts.size() > 1);
}

TEST_CASE("A stop without an answer is sent again once the worker answers", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order({}, 1);
    world.answer_hold({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 1010);
    const worker_orders stop{.worker = {},
                             .ends_stored = 0,
                             .starts = {},
                             .stops = {{.task = task, .run = run_number{1}}}};
    world.order(stop, 1);
    REQUIRE(world.worker.stops.size() == 1);
    world.worker.stops[0]({.end = call_end::unanswered});
    CHECK(world.worker.stops.size() == 1);
    world.answer_hold({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 1300);
    REQUIRE(world.worker.stops.size() == 2);
    world.worker.stops[1]({.end = call_end::accepted});
    world.answer_hold({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 1400);
    CHECK(world.worker.stops.size() == 2);
}

TEST_CASE("A start that is to be stopped is not sent again", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order({}, 1);
    world.answer_hold({}, 1010);
    world.order(start_of(wanted()), 1);
    world.order({.worker = {},
                 .ends_stored = 0,
                 .starts = {},
                 .stops = {{.task = task, .run = run_number{1}}}},
                1);
    world.worker.starts[0].answer({.end = call_end::unanswered});
    world.loop.run_for(5ms);
    world.answer_hold({}, 1100);
    CHECK(world.worker.starts.size() == 1);
    CHECK(world.newest.refusals_size() == 1);
}

TEST_CASE("A start below the token of another one's loss is sent again", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order({}, 1);
    world.answer_hold({}, 1010);
    world.order(start_of(wanted()), 1);
    const auto first = world.worker.starts[0].call.token;
    world.worker.starts[0].answer({.end = call_end::fenced, .clock = worker_clock{1050}});
    world.loop.run_for(5ms);
    REQUIRE(world.worker.starts.size() == 2);
    CHECK(world.worker.starts[1].call.token > first);
    CHECK(world.newest.refusals().empty());
}

TEST_CASE("A start is not given up while more ends may be listed", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order({}, 1);
    world.answer_hold({}, 1010);
    world.order(start_of(wanted()), 1);
    world.worker.starts[0].answer({.end = call_end::unanswered});
    world.loop.run_for(5ms);
    world.answer_hold({.runs = {}, .ends = {}, .more_ends = true}, 1100);
    CHECK(world.worker.starts.size() == 1);
    CHECK(world.newest.refusals().empty());
    CHECK(world.newest.runs_size() == 1);
}

TEST_CASE("A start that the lists show after all is a run", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order({}, 1);
    world.answer_hold({}, 1010);
    world.order(start_of(wanted()), 1);
    world.worker.starts.at(0).answer({.end = call_end::unanswered});
    world.loop.run_for(5ms);
    world.answer_hold({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 1100);
    CHECK(world.newest.refusals().empty());
    CHECK(world.newest.runs_size() == 1);
}

TEST_CASE("Orders of an earlier term are not carried out", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order({}, 1, 7);
    world.answer_hold({}, 1010);
    world.order(start_of(wanted()), 1, 5);
    CHECK(world.worker.starts.empty());
}

TEST_CASE("What does not fit beside the guard's own starts is refused", "[guard]") {
    rig world;
    world.announce(1, 1000);
    world.order({}, 1);
    world.answer_hold({}, 1010);
    auto second = wanted(5);
    second.run = run_number{2};
    world.order(start_of(wanted(5)), 1);
    world.order(start_of(second), 1);
    CHECK(world.worker.starts.size() == 1);
    CHECK(world.newest.refusals_size() == 1);
}

TEST_CASE("A late answer of an earlier life does not set the lease's clock", "[guard]") {
    rig world;
    world.announce(1, 900'000);
    world.order({}, 1);
    world.answer_hold({.runs = {{.task = task, .run = run_number{1}}}, .ends = {}}, 900'010);
    world.order({.worker = {}, .ends_stored = 0, .starts = {}, .stops = {{task, run_number{1}}}},
                1);
    REQUIRE(world.worker.stops.size() == 1);
    world.announce(2, 50);
    world.worker.stops[0]({.end = call_end::accepted, .clock = worker_clock{900'500}});
    world.order({}, 2);
    // An answer without a clock, so that the next hold goes by the one that was taken last.
    world.worker.holds.back().answer({.reply = {.end = call_end::accepted}});
    world.loop.run_for(5ms);
    REQUIRE(world.worker.holds.back().call.worker.version == incarnation{2});
    REQUIRE(world.worker.holds.back().call.lease);
    CHECK(world.worker.holds.back().call.lease->get() < 10'000);
}

TEST_CASE("A worker whose host's clock was set back is heard once the earlier life is silent",
          "[guard]") {
    rig world;
    world.announce(9000, 1000);
    world.order({}, 9000);
    world.answer_hold({}, 1010);
    world.announce(6600, 50);
    CHECK(world.worker.holds.back().call.worker.version == incarnation{9000});
    world.loop.run_for(2s);
    world.announce(6600, 2050);
    world.loop.run_for(600ms);
    CHECK(world.worker.holds.back().call.worker.version == incarnation{6600});
}
