#include "baobabrack/dispatch/target_book.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/records.pb.h"
#include "baobabrack/runtime/virtual_runtime.hpp"

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

const service_id service{"nibcast"};
const region_id region{"mobay"};

struct book_world {
    virtual_runtime loop{1};
    target_registry registry{{.silence_limit = 1h}};
    entry_set entries;
    limit_shares shares{loop, entries, entry_id{"e1"}, incarnation{1}, {}};
    target_book book{loop, registry, shares, {}};

    book_world() {
        wire::Record joined;
        joined.mutable_entry_joined()->set_entry("e1");
        joined.mutable_entry_joined()->set_incarnation(1);
        joined.mutable_entry_joined()->mutable_location()->set_region(region.get());
        REQUIRE(entries.apply(joined, {.offset = log_offset{0}}));
        for (int i = 1; i <= 4; ++i) {
            announce("t" + std::to_string(i));
        }
    }

    void announce(const std::string& target, std::uint64_t version = 1, std::uint32_t slots = 8) {
        wire::TargetAnnouncement facts;
        facts.set_target(target);
        facts.set_incarnation(version);
        facts.set_sequence(1);
        facts.set_service(service.get());
        facts.mutable_location()->set_region(region.get());
        facts.set_slots(slots);
        registry.handle_announcement(facts, loop.now());
    }

    target_load& target(const std::string& id) {
        for (auto* one : book.in_region(service, region)) {
            if (one->id == target_id{id}) {
                return *one;
            }
        }
        throw std::out_of_range(id);
    }

    void fail(const std::string& id, int times) {
        for (int i = 0; i < times; ++i) {
            book.failed(target_id{id}, incarnation{1});
        }
    }
};

}  // namespace

TEST_CASE("A target that keeps failing is ejected, then on probation", "[target_book]") {
    book_world world;
    world.fail("t1", 5);
    CHECK(world.book.free_slots(world.target("t1")) == 0);
    CHECK(world.book.ejected() == 1);
    world.loop.run_for(6s);
    CHECK(world.book.free_slots(world.target("t1")) == 1);

    SECTION("a failed probe ejects it for longer") {
        world.fail("t1", 1);
        world.loop.run_for(6s);
        CHECK(world.book.free_slots(world.target("t1")) == 0);
    }
    SECTION("probes that go well end the probation") {
        for (int i = 0; i < 3; ++i) {
            world.book.succeeded(target_id{"t1"}, incarnation{1}, 1);
        }
        CHECK(world.book.free_slots(world.target("t1")) == 8);
    }
}

TEST_CASE("A slow target is ejected as an outlier", "[target_book]") {
    book_world world;
    for (int i = 0; i < 20; ++i) {
        world.book.succeeded(target_id{"t2"}, incarnation{1}, 10);
    }
    CHECK(world.book.ejected() == 1);
}

TEST_CASE("When most targets fail they are not outliers", "[target_book]") {
    book_world world;
    for (const auto* id : {"t1", "t2", "t3", "t4"}) {
        world.fail(id, 20);
    }
    CHECK(world.book.ejected() == 1);
}

TEST_CASE("A target that comes later starts slowly", "[target_book]") {
    book_world world;
    world.loop.run_for(1min);
    world.announce("t9");
    CHECK(world.book.free_slots(world.target("t9")) == 2);
    world.loop.run_for(5s);
    CHECK(world.book.free_slots(world.target("t9")) == 4);
    world.loop.run_for(6s);
    CHECK(world.book.free_slots(world.target("t9")) == 8);
}

TEST_CASE("Slots held through a restart stay held", "[target_book]") {
    book_world world;
    world.book.hold(world.target("t1"));
    world.announce("t1", 2);
    CHECK(world.book.free_slots(world.target("t1")) == 7);
    world.book.release(target_id{"t1"});
    CHECK(world.book.free_slots(world.target("t1")) == 8);
}
