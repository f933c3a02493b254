#include "baobabrack/guard/guard_node.hpp"

#include <catch2/catch.hpp>
#include <optional>

#include "baobabrack/guard/guard_client.hpp"
#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_network.hpp"

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

/// A target that answers each request after 100 ms, or never if `silent` is set.
class slow_target : public target_service {
public:
    explicit slow_target(runtime& loop) : loop_(loop) {}

    void send(const target_id& /*target*/, const target_request& request,
              reply_callback done) override {
        ++ran;
        max_running = std::max(max_running, ++running);
        if (silent) {
            return;
        }
        loop_.schedule(100ms, [this, body = request.body, done = std::move(done)] {
            --running;
            done({.outcome = exchange_outcome::answered, .status = 200, .body = "did " + body});
        });
    }
    void abandon(const target_id& /*target*/, std::uint64_t /*request*/) override {}
    void fence(const target_id& /*target*/, const workspace_id& /*workspace*/,
               const claim_token& /*claim*/, std::function<void(ran_state)> done) override {
        done(ran_state::unknown);
    }

    int ran = 0;
    int running = 0;
    int max_running = 0;
    bool silent = false;

private:
    runtime& loop_;
};

struct guard_fixture {
    guard_fixture() { start_guard(1); }

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
                client.handle_hello(message.guard_hello());
            } else if (message.has_guard_reply()) {
                client.handle_reply(message.guard_reply());
            } else if (message.has_guard_fence_reply()) {
                client.handle_fence_reply(message.guard_fence_reply());
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
        client.fence(target_id{"t1"}, sent.workspace, *sent.claim,
                     [&](ran_state reported) { ran = reported; });
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
    guard_client client{{.self = entry_id{"e1"},
                         .version = incarnation{1},
                         .requires_guard = [](const target_id& id) { return id.get() == "t1"; }},
                        loop,
                        *entry_port,
                        direct};
    std::optional<guard_node> guard;
};

}  // namespace

TEST_CASE("A guard enforces the target's slots regardless of what entries send", "[guard]") {
    guard_fixture fixture;
    int answered = 0;
    int refused = 0;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        fixture.client.send(target_id{"t1"}, fixture.request(id), [&](target_reply reply) {
            answered += reply.outcome == exchange_outcome::answered ? 1 : 0;
            refused += reply.outcome == exchange_outcome::refused_not_run ? 1 : 0;
        });
    }
    fixture.loop.run_for(500ms);
    CHECK(answered == 2);
    CHECK(refused == 3);
    CHECK(fixture.target.max_running == 2);
    CHECK(fixture.direct.ran == 0);
}

TEST_CASE("A guard runs a claimed key once", "[guard]") {
    guard_fixture fixture;
    std::vector<exchange_outcome> outcomes;
    const auto record_outcome = [&](target_reply reply) { outcomes.push_back(reply.outcome); };
    fixture.client.send(target_id{"t1"}, fixture.request(1, "k"), record_outcome);
    fixture.loop.run_for(200ms);
    fixture.client.send(target_id{"t1"}, fixture.request(2, "k"), record_outcome);
    fixture.loop.run_for(200ms);
    CHECK(outcomes ==
          std::vector<exchange_outcome>{exchange_outcome::answered, exchange_outcome::broken});
    CHECK(fixture.target.ran == 1);
}

TEST_CASE("A fence confirms that a key did not run and prevents a later run", "[guard]") {
    guard_fixture fixture;
    const auto sent = fixture.request(7, "k");

    SECTION("the request was lost in the network") {
        fixture.net.partition("e1", "g1");
        fixture.client.send(target_id{"t1"}, sent, [](target_reply) {});
        fixture.loop.run_for(10ms);
        fixture.net.heal("e1", "g1");
        CHECK(fixture.fence(sent) == ran_state::no);

        auto outcome = exchange_outcome::answered;
        fixture.client.send(target_id{"t1"}, sent,
                            [&](target_reply reply) { outcome = reply.outcome; });
        fixture.loop.run_for(500ms);
        CHECK(outcome == exchange_outcome::refused_not_run);
        CHECK(fixture.target.ran == 0);
    }
    SECTION("the request is still running") {
        fixture.target.silent = true;
        fixture.client.send(target_id{"t1"}, sent, [](target_reply) {});
        fixture.loop.run_for(10ms);
        CHECK(fixture.fence(sent) == ran_state::unknown);
    }
    SECTION("another incarnation of the guard may have run it") {
        fixture.target.silent = true;
        fixture.client.send(target_id{"t1"}, sent, [](target_reply) {});
        fixture.loop.run_for(10ms);
        fixture.start_guard(2);
        CHECK(fixture.fence(sent) == ran_state::unknown);
    }
}

TEST_CASE("A draining guard finishes running requests and refuses new ones", "[guard]") {
    guard_fixture fixture;
    auto first = exchange_outcome::broken;
    auto second = exchange_outcome::broken;
    bool drained = false;
    fixture.client.send(target_id{"t1"}, fixture.request(1),
                        [&](target_reply reply) { first = reply.outcome; });
    fixture.loop.run_for(10ms);
    fixture.guard->drain([&] { drained = true; });
    fixture.client.send(target_id{"t1"}, fixture.request(2),
                        [&](target_reply reply) { second = reply.outcome; });
    fixture.loop.run_for(10ms);
    CHECK_FALSE(drained);
    fixture.loop.run_for(500ms);
    CHECK(first == exchange_outcome::answered);
    CHECK(second == exchange_outcome::refused_not_run);
    CHECK(drained);
}

TEST_CASE("A target that announces a guard is never contacted directly", "[guard]") {
    guard_fixture fixture;
    fixture.net.partition("e1", "g1");
    fixture.loop.run_for(10s);
    auto outcome = exchange_outcome::answered;
    fixture.client.send(target_id{"t1"}, fixture.request(1),
                        [&](target_reply reply) { outcome = reply.outcome; });
    fixture.client.send(target_id{"t2"}, fixture.request(2), [](target_reply) {});
    fixture.loop.run_for(10ms);
    CHECK(outcome == exchange_outcome::not_sent);
    CHECK(fixture.direct.ran == 1);
}
