#include "platform/config_follower.hpp"

#include <catch2/catch.hpp>
#include <utility>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_store.hpp"

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

using zones = std::set<data_centre_id>;

const data_centre_id north{"north"};
const data_centre_id south{"south"};

/// A follower of the operator's topic in a store of the test.
struct follower_fixture {
    virtual_runtime loop{5};
    fakes::fake_store store{loop};
    fakes::fake_store_link link{loop, store};
    platform::config_follower subject{loop, link};
    int changes = 0;

    void start() {
        subject.start([this] { ++changes; });
        loop.run_for(1s);
    }
    void write(const std::string& key, const std::string& value) {
        store.append({.topic = topic_id{"keyed.op"},
                      .records = {{.key = key, .value = value}},
                      .expected_end = std::nullopt});
    }
    /// Lets the history expire after the record was written unseen.
    void write_unseen(const std::string& key, const std::string& value) {
        link.active_faults.silent = true;
        loop.run_for(2s);
        write(key, value);
        store.expire_history();
        link.active_faults.silent = false;
        loop.run_for(4s);
    }
};

}  // namespace

TEST_CASE("Evacuations follow their keys", "[adapter][evacuation]") {
    follower_fixture fixture;
    fixture.write("evacuate/north", "{}");
    fixture.start();
    CHECK(fixture.subject.evacuated() == zones{north});
    fixture.write("evacuate/south", "not JSON");
    fixture.loop.run_for(50ms);
    CHECK(fixture.subject.evacuated() == zones{north, south});
    fixture.write("evacuate/north", "");
    fixture.loop.run_for(50ms);
    CHECK(fixture.subject.evacuated() == zones{south});
    CHECK(fixture.changes == 3);
    SECTION("keys without a data centre and other keys do not count") {
        fixture.write("evacuate/", "{}");
        fixture.write("evacuate", "{}");
        fixture.write("config", "not JSON");
        fixture.loop.run_for(50ms);
        CHECK(fixture.subject.evacuated() == zones{south});
    }
    SECTION("a process that starts later knows them") {
        platform::config_follower other(fixture.loop, fixture.link);
        CHECK_FALSE(other.confirmed());
        other.start([] {});
        fixture.loop.run_for(50ms);
        CHECK(other.confirmed());
        CHECK(other.evacuated() == zones{south});
    }
}

// A revocation that was never seen would keep the data centre closed for good.
TEST_CASE("Evacuations are right after history was dropped", "[adapter][evacuation]") {
    follower_fixture fixture;
    fixture.write("evacuate/north", "{}");
    fixture.start();
    REQUIRE(fixture.subject.evacuated() == zones{north});
    SECTION("revoked meanwhile") {
        fixture.write_unseen("evacuate/north", "");
        CHECK(fixture.subject.evacuated().empty());
        fixture.write("evacuate/north", "{}");
        fixture.loop.run_for(50ms);
        CHECK(fixture.subject.evacuated() == zones{north});
    }
    SECTION("begun meanwhile") {
        fixture.write_unseen("evacuate/south", "{}");
        CHECK(fixture.subject.evacuated() == zones{north, south});
    }
}

TEST_CASE("A stale listing does not revoke an evacuation", "[adapter][evacuation]") {
    follower_fixture fixture;
    fixture.start();
    fixture.write("evacuate/north", "{}");
    fixture.loop.run_for(50ms);
    REQUIRE(fixture.subject.evacuated() == zones{north});
    auto& topic = fixture.store.at(topic_id{"keyed.op"});
    const auto records = std::exchange(topic.records, {});
    topic.first = 5;
    fixture.loop.run_for(3s);
    CHECK(fixture.subject.evacuated() == zones{north});
    topic.records = records;
    topic.first = 0;
    fixture.loop.run_for(3s);
    CHECK(fixture.subject.evacuated() == zones{north});
    CHECK(fixture.loop.now() - *fixture.subject.confirmed() < 2s);
}
