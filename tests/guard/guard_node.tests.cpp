#include "baobabrack/guard/guard_node.hpp"

#include <catch2/catch.hpp>
#include <optional>

#include "baobabrack/guard/guard_link.hpp"
#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_network.hpp"

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

/// A target that answers each request after 100 ms, or never.
class slow_target : public target_service {
public:
    explicit slow_target(runtime& loop) : loop_(loop) {}

    void send(const target_id& /*target*/, const target_request& request,
              reply_callback done) override {
        ++ran;
        most = std::max(most, ++running);
        if (silent) {
            return;
        }
        loop_.schedule(100ms, [this, body = request.body, done = std::move(done)] {
            --running;
            done({.end = exchange_end::answered, .status = 200, .body = "did " + body});
        });
    }
    void abandon(const target_id& /*target*/, std::uint64_t /*request*/) override {}
    void fence(const target_id& /*target*/, const workspace_id& /*workspace*/,
               const claim_token& /*claim*/, std::function<void(ran_state)> done) override {
        done(ran_state::unknown);
    }

    int ran = 0;
    int running = 0;
    int most = 0;
    bool silent = false;

private:
    runtime& loop_;
};

struct bench_of_two {
    bench_of_two() { start_guard(1); }

    void start_guard(std::uint64_t version) {
        guard.reset();
        guard_port = net.attach("g1");
        guard_port->connect("e1", "");
        guard.emplace(guard_node::options{.id = "g1",
                                          .version = incarnation{version},
                                          .target = target_id{"t1"},
                                          .slots = 2,
                                          .entries = {"e1"}},
                      loop, *guard_port, target, metrics);
        entry_port->on_message([this](const std::string&, const wire::PeerMessage& message) {
            if (message.has_guard_hello()) {
                link.hear(message.guard_hello());
            } else if (message.has_guard_reply()) {
                link.hear(message.guard_reply());
            } else if (message.has_guard_fence_reply()) {
                link.hear(message.guard_fence_reply());
            }
        });
        guard->start();
        loop.run_for(10ms);
    }

    target_request request(std::uint64_t id, const std::string& key = "") {
        target_request out{
            .id = id, .workspace = workspace_id{"w"}, .body = "work", .deadline = 1s};
        if (!key.empty()) {
            out.claim = claim_token{.key = idempotency_key{key}, .offset = log_offset{id}};
        }
        return out;
    }

    ran_state fence(const target_request& sent) {
        auto ran = ran_state::unknown;
        link.fence(target_id{"t1"}, sent.workspace, *sent.claim,
                   [&](ran_state said) { ran = said; });
        loop.run_for(1s);
        return ran;
    }

    virtual_runtime loop{1};
    fakes::fake_network net{loop, {}};
    metrics_registry metrics;
    slow_target target{loop};
    slow_target direct{loop};
    std::unique_ptr<peer_network> entry_port = net.attach("e1");
    std::unique_ptr<peer_network> guard_port;
    guard_link link{{.self = entry_id{"e1"},
                     .version = incarnation{1},
                     .behind_guard = [](const target_id& id) { return id.get() == "t1"; }},
                    loop,
                    *entry_port,
                    direct};
    std::optional<guard_node> guard;
};

}  // namespace

TEST_CASE("A guard holds the target's slots whatever entries send", "[guard]") {
    bench_of_two bench;
    int answered = 0;
    int refused = 0;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        bench.link.send(target_id{"t1"}, bench.request(id), [&](target_reply reply) {
            answered += reply.end == exchange_end::answered ? 1 : 0;
            refused += reply.end == exchange_end::refused_not_run ? 1 : 0;
        });
    }
    bench.loop.run_for(500ms);
    CHECK(answered == 2);
    CHECK(refused == 3);
    CHECK(bench.target.most == 2);
    CHECK(bench.direct.ran == 0);
}

TEST_CASE("A claimed key runs once at a guard", "[guard]") {
    bench_of_two bench;
    std::vector<exchange_end> ends;
    const auto note = [&](target_reply reply) { ends.push_back(reply.end); };
    bench.link.send(target_id{"t1"}, bench.request(1, "k"), note);
    bench.loop.run_for(200ms);
    bench.link.send(target_id{"t1"}, bench.request(2, "k"), note);
    bench.loop.run_for(200ms);
    CHECK(ends == std::vector<exchange_end>{exchange_end::answered, exchange_end::broken});
    CHECK(bench.target.ran == 1);
}

TEST_CASE("A fence proves that a key did not run and keeps it so", "[guard]") {
    bench_of_two bench;
    const auto sent = bench.request(7, "k");

    SECTION("the request was lost on the way") {
        bench.net.partition("e1", "g1");
        bench.link.send(target_id{"t1"}, sent, [](target_reply) {});
        bench.loop.run_for(10ms);
        bench.net.heal("e1", "g1");
        CHECK(bench.fence(sent) == ran_state::no);

        auto end = exchange_end::answered;
        bench.link.send(target_id{"t1"}, sent, [&](target_reply reply) { end = reply.end; });
        bench.loop.run_for(500ms);
        CHECK(end == exchange_end::refused_not_run);
        CHECK(bench.target.ran == 0);
    }
    SECTION("it is still running") {
        bench.target.silent = true;
        bench.link.send(target_id{"t1"}, sent, [](target_reply) {});
        bench.loop.run_for(10ms);
        CHECK(bench.fence(sent) == ran_state::unknown);
    }
    SECTION("another incarnation of the guard may have run it") {
        bench.target.silent = true;
        bench.link.send(target_id{"t1"}, sent, [](target_reply) {});
        bench.loop.run_for(10ms);
        bench.start_guard(2);
        CHECK(bench.fence(sent) == ran_state::unknown);
    }
}

TEST_CASE("A draining guard finishes what runs and takes no more", "[guard]") {
    bench_of_two bench;
    auto first = exchange_end::broken;
    auto second = exchange_end::broken;
    bool drained = false;
    bench.link.send(target_id{"t1"}, bench.request(1), [&](target_reply r) { first = r.end; });
    bench.loop.run_for(10ms);
    bench.guard->drain([&] { drained = true; });
    bench.link.send(target_id{"t1"}, bench.request(2), [&](target_reply r) { second = r.end; });
    bench.loop.run_for(10ms);
    CHECK_FALSE(drained);
    bench.loop.run_for(500ms);
    CHECK(first == exchange_end::answered);
    CHECK(second == exchange_end::refused_not_run);
    CHECK(drained);
}

TEST_CASE("A target is never reached past the guard that it announces", "[guard]") {
    bench_of_two bench;
    bench.net.partition("e1", "g1");
    bench.loop.run_for(10s);
    auto end = exchange_end::answered;
    bench.link.send(target_id{"t1"}, bench.request(1), [&](target_reply r) { end = r.end; });
    bench.link.send(target_id{"t2"}, bench.request(2), [](target_reply) {});
    bench.loop.run_for(10ms);
    CHECK(end == exchange_end::not_sent);
    CHECK(bench.direct.ran == 1);
}
