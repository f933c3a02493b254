#include "baobabrack/membership/roster.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_network.hpp"

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

class empty_heartbeat_source : public heartbeat_source {
public:
    void fill(wire::Heartbeat& /*heartbeat*/) override {}
};

struct member {
    member(virtual_runtime& loop, fakes::fake_network& net, const std::string& id,
           const std::string& region, std::uint64_t version)
        : network(net.attach(id)),
          entries({.self = entry_id{id},
                   .version = incarnation{version},
                   .place = {.region = region_id{region}}},
                  loop, *network, source) {
        network->on_message(
            [this](const std::string& /*sender*/, const wire::PeerMessage& message) {
                entries.handle_heartbeat(message.heartbeat());
            });
    }

    void add_peer(const std::string& peer) {
        network->connect(peer, "");
        entries.add_peer(entry_id{peer});
    }

    empty_heartbeat_source source;
    std::unique_ptr<peer_network> network;
    roster entries;
};

}  // namespace

TEST_CASE("Live entries agree on owners, and a silent entry loses its keys", "[roster]") {
    virtual_runtime loop(1);
    fakes::fake_network net(loop, {});
    member a(loop, net, "a", "north", 1);
    member b(loop, net, "b", "south", 1);
    a.add_peer("b");
    b.add_peer("a");
    a.entries.start();
    b.entries.start();
    loop.run_for(1s);

    CHECK(a.entries.active_entries().size() == 2);
    for (const auto* key : {"job-1", "job-2", "job-3", "worker-9"}) {
        CHECK(a.entries.owner(key) == b.entries.owner(key));
    }
    CHECK(a.entries.owner_in_region(region_id{"south"}, "rack-1") == entry_id{"b"});
    CHECK(b.entries.owner_in_region(region_id{"north"}, "rack-1") == entry_id{"a"});

    SECTION("a network partition makes each entry the owner of all keys") {
        net.partition("a", "b");
        loop.run_for(5s);
        CHECK(a.entries.active_entries() == std::vector<entry_id>{entry_id{"a"}});
        CHECK(b.entries.owner_in_region(region_id{"north"}, "rack-1") == entry_id{"b"});
        net.heal("a", "b");
        loop.run_for(1s);
        CHECK(a.entries.active_entries().size() == 2);
    }
    SECTION("a draining entry owns nothing") {
        b.entries.set_draining();
        loop.run_for(1s);
        CHECK(a.entries.owner_in_region(region_id{"south"}, "rack-1") == entry_id{"a"});
        CHECK(b.entries.owner("job-1") == entry_id{"a"});
    }
}

TEST_CASE("A heartbeat of an earlier incarnation is ignored", "[roster]") {
    virtual_runtime loop(1);
    fakes::fake_network net(loop, {});
    member a(loop, net, "a", "north", 1);
    wire::Heartbeat heartbeat;
    heartbeat.set_entry("b");
    heartbeat.set_incarnation(5);
    heartbeat.set_sequence(9);
    CHECK(a.entries.handle_heartbeat(heartbeat));
    CHECK_FALSE(a.entries.handle_heartbeat(heartbeat));
    heartbeat.set_incarnation(4);
    heartbeat.set_sequence(100);
    CHECK_FALSE(a.entries.handle_heartbeat(heartbeat));
    heartbeat.set_incarnation(6);
    heartbeat.set_sequence(1);
    CHECK(a.entries.handle_heartbeat(heartbeat));
}
