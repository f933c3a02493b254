#include "baobabrack/placement/place_search.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/placement/fleet_index.hpp"
#include "fleet_builder.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;

TEST_CASE("The tightest worker is chosen over all racks", "[placement]") {
    fixture world;
    world.add_rack("a", 2);
    world.add_rack("b", 2);
    const auto used = from_wire(shape(1, 1, wire::ADJACENCY_WORKER).per_member());
    REQUIRE(world.workers.allocate(worker_id{"a1"}, used, 6));
    REQUIRE(world.workers.allocate(worker_id{"b1"}, used, 4));
    REQUIRE(world.workers.allocate(worker_id{"b2"}, used, 4));
    fleet_index index(world.workers);
    const auto query = query_of(job("j", "w", shape(1, 1, wire::ADJACENCY_WORKER)));
    const auto place = find_place(index.available(), query, fit_rule::tightest);
    REQUIRE(place);
    CHECK(index.to_members(*place)[0].worker == worker_id{"a1"});

    SECTION("unless another leaves whole shapes free") {
        kept_sizes kept{.free = &index.available(), .on_worker = {2}, .on_rack = {}};
        REQUIRE(world.workers.allocate(worker_id{"b2"}, used, 1));
        const auto spared = find_place(index.available(), query, fit_rule::tightest, &kept);
        REQUIRE(spared);
        CHECK(index.to_members(*spared)[0].worker == worker_id{"b2"});
    }
}

TEST_CASE("Sums per place follow every change of the fleet", "[placement]") {
    fixture world;
    world.add_rack("a", 2);
    fleet_index index(world.workers);
    const auto query = query_of(job("j", "w", shape(16, 1, wire::ADJACENCY_RACK)));
    CHECK(most_members(index.available(), query) == 16);
    REQUIRE(world.workers.allocate(worker_id{"a1"}, query.unit, 3));
    CHECK(most_members(index.available(), query) == 13);
    world.workers.leave(worker_id{"a2"}, incarnation{1});
    CHECK(most_members(index.available(), query) == 5);
    world.workers.join(facts("a2", "r", "a", 8, 2));
    CHECK(most_members(index.available(), query) == 13);
    const auto held = index.hold({{index.places().find(worker_id{"a1"}), 5}}, query.unit);
    CHECK(most_members(index.available(), query) == 8);
    index.release(held, query.unit, false);
    CHECK(most_members(index.available(), query) == 13);
}

TEST_CASE("Stranded accelerators are those that no whole shape can use", "[placement]") {
    CHECK(stranded(7, {4}) == 3);
    CHECK(stranded(12, {8, 4}) == 0);
    CHECK(stranded(3, {}) == 0);
}
