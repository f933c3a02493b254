#include "baobabrack/transport/zmq_network.hpp"

#include <zmq.h>

#include <catch2/catch.hpp>
#include <memory>

#include "support/loopback.hpp"

namespace baobabrack {
namespace {

using testing::run_until;

constexpr std::uint64_t seed = 1;
constexpr auto any_port = "tcp://127.0.0.1:*";

wire::PeerMessage heartbeat(std::uint64_t sequence) {
    wire::PeerMessage message;
    message.mutable_heartbeat()->set_sequence(sequence);
    return message;
}

struct node {
    node(event_runtime& loop, const std::string& id, const std::string& endpoint = any_port)
        : network(loop, {.id = id, .endpoint = endpoint}) {
        network.on_message([this](const std::string& sender, const wire::PeerMessage& message) {
            senders.push_back(sender);
            sequences.push_back(message.heartbeat().sequence());
        });
    }

    zmq_network network;
    std::vector<std::string> senders;
    std::vector<std::uint64_t> sequences;
};

// Connects and sends until a message is received, as messages sent before the connection is
// established are dropped.
bool connect(event_runtime& loop, node& from, node& to, const std::string& peer) {
    from.network.connect(peer, to.network.endpoint());
    const auto before = to.network.totals().received;
    return run_until(loop, [&] {
        from.network.send(peer, heartbeat(0));
        return to.network.totals().received > before;
    });
}

TEST_CASE("messages reach a peer completely and in order, with their sender", "[zmq]") {
    event_runtime loop{seed};
    node first{loop, "entry-1"};
    node second{loop, "entry-2"};
    REQUIRE(connect(loop, first, second, "entry-2"));
    second.sequences.clear();

    // More than one receive batch, to check that the edge-triggered descriptor is read to the end.
    constexpr std::uint64_t count = 1000;
    for (std::uint64_t sequence = 1; sequence <= count; ++sequence) {
        first.network.send("entry-2", heartbeat(sequence));
    }
    REQUIRE(run_until(
        loop, [&] { return !second.sequences.empty() && second.sequences.back() == count; }));
    CHECK(second.senders.back() == "entry-1");
    std::erase(second.sequences, 0);
    CHECK(second.sequences.size() == count);
    CHECK(std::is_sorted(second.sequences.begin(), second.sequences.end()));
}

TEST_CASE("a message to a peer that is not connected is dropped and counted", "[zmq]") {
    event_runtime loop{seed};
    node sender{loop, "entry-1"};
    sender.network.send("entry-2", heartbeat(1));
    sender.network.connect("entry-3", "tcp://127.0.0.1:1");
    sender.network.send("entry-3", heartbeat(1));
    sender.network.connect("entry-4", "not an endpoint");
    sender.network.send("entry-4", heartbeat(1));
    CHECK(sender.network.totals().unsent == 3);
    CHECK(sender.network.totals().sent == 0);
}

TEST_CASE("a restarted process can reuse its id", "[zmq]") {
    event_runtime loop{seed};
    node receiver{loop, "entry-1"};
    auto sender = std::make_unique<node>(loop, "entry-2");
    REQUIRE(connect(loop, *sender, receiver, "entry-1"));
    sender = std::make_unique<node>(loop, "entry-2");
    CHECK(connect(loop, *sender, receiver, "entry-1"));
}

TEST_CASE("a peer that restarts on the same endpoint is reconnected", "[zmq]") {
    event_runtime loop{seed};
    node sender{loop, "entry-1"};
    auto receiver = std::make_unique<node>(loop, "entry-2");
    const auto endpoint = receiver->network.endpoint();
    REQUIRE(connect(loop, sender, *receiver, "entry-2"));
    receiver.reset();
    receiver = std::make_unique<node>(loop, "entry-2", endpoint);
    CHECK(connect(loop, sender, *receiver, "entry-2"));
}

TEST_CASE("undecodable messages are dropped and counted", "[zmq]") {
    event_runtime loop{seed};
    node receiver{loop, "entry-1"};
    const zmq_context context{zmq_ctx_new()};
    const zmq_socket dealer{::zmq_socket(context.get(), ZMQ_DEALER)};
    const int no_linger = 0;
    zmq_setsockopt(dealer.get(), ZMQ_LINGER, &no_linger, sizeof no_linger);
    zmq_connect(dealer.get(), receiver.network.endpoint().c_str());

    SECTION("invalid bytes") {
        zmq_send(dealer.get(), "\xff\xff\xff", 3, 0);
    }
    SECTION("an empty message") {
        zmq_send(dealer.get(), "", 0, 0);
    }
    SECTION("too many parts") {
        zmq_send(dealer.get(), "a", 1, ZMQ_SNDMORE);
        zmq_send(dealer.get(), "b", 1, ZMQ_SNDMORE);
        zmq_send(dealer.get(), "c", 1, 0);
    }
    REQUIRE(run_until(loop, [&] { return receiver.network.totals().undecodable == 1; }));
    const auto valid = heartbeat(7).SerializeAsString();
    zmq_send(dealer.get(), valid.data(), valid.size(), 0);
    CHECK(run_until(loop, [&] { return receiver.network.totals().received == 1; }));
}

TEST_CASE("a message above the size limit disconnects only its sender", "[zmq]") {
    event_runtime loop{seed};
    zmq_network receiver{loop, {.id = "entry-1", .endpoint = any_port, .max_message_bytes = 1024}};
    node oversized{loop, "entry-2"};
    node regular{loop, "entry-3"};
    oversized.network.connect("entry-1", receiver.endpoint());
    regular.network.connect("entry-1", receiver.endpoint());
    REQUIRE(run_until(loop, [&] {
        wire::PeerMessage message;
        message.mutable_snapshot_reply()->set_data(std::string(4096, 'x'));
        oversized.network.send("entry-1", message);
        return oversized.network.totals().sent > 0;
    }));
    CHECK(run_until(loop, [&] {
        regular.network.send("entry-1", heartbeat(1));
        return receiver.totals().received > 0;
    }));
    CHECK(receiver.totals().received_bytes < 4096);
}

}  // namespace
}  // namespace baobabrack
