#include "baobabrack/workload/placement.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload/preemption.hpp"
#include "baobabrack/workload/room_view.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

resources room(std::uint32_t accelerators) {
    return {.cpu = cpu_millicores{64'000},
            .memory = memory_mib{64'000},
            .accelerators = accelerator_count{accelerators}};
}

candidate host(const std::string& id, const std::string& rack, std::uint32_t left) {
    return {.host = host_id{id},
            .rack = rack_id{rack},
            .labels = {label{"a"}, label{rack}},
            .left = room(left)};
}

step_spec step_of(std::uint32_t tasks, std::uint32_t accelerators) {
    return {.tasks = tasks,
            .per_task = {.cpu = cpu_millicores{1000},
                         .memory = memory_mib{1000},
                         .accelerators = accelerator_count{accelerators}},
            .estimated = 2s};
}

task_group group_of(const step_spec& spec) {
    task_group group{.step = {.job = job_id{"j"}}, .spec = &spec, .tasks = {}, .on_host = {}};
    for (std::uint32_t index = 0; index < spec.tasks; ++index) {
        group.tasks.push_back(index);
    }
    return group;
}

constexpr placement_limits fast{.remote = false, .spread = false};

victim victim_on(const std::string& at, std::uint32_t accelerators, double loss) {
    victim one;
    one.tasks.push_back({.step = {.job = job_id{"v-" + at + std::to_string(loss)}}});
    one.held[host_id{at}] = room(accelerators);
    one.loss = loss;
    return one;
}

}  // namespace

TEST_CASE("A small task takes the fullest host that fits, so that whole hosts stay free",
          "[placement]") {
    const auto spec = step_of(1, 1);
    const auto places = place(group_of(spec), {host("h1", "r1", 8), host("h2", "r1", 2)}, fast);
    REQUIRE(places);
    CHECK(places->front().host == host_id{"h2"});
}

TEST_CASE("A gang takes all of its places or none", "[placement]") {
    auto spec = step_of(3, 4);
    spec.gang = true;
    CHECK_FALSE(place(group_of(spec), {host("h1", "r1", 8), host("h2", "r1", 3)}, {}));
    const auto places = place(group_of(spec), {host("h1", "r1", 8), host("h2", "r1", 4)}, {});
    REQUIRE(places);
    CHECK(places->size() == 3);
}

TEST_CASE("A rack-local gang stays in one rack unless it may be spread", "[placement]") {
    auto spec = step_of(2, 8);
    spec.gang = true;
    spec.rack_local = true;
    const candidates apart{host("h1", "r1", 8), host("h2", "r2", 8)};
    CHECK_FALSE(place(group_of(spec), apart, fast));
    CHECK(place(group_of(spec), apart, {}));
}

TEST_CASE("Data's rack comes first, and away from it only when allowed", "[placement]") {
    auto spec = step_of(1, 1);
    spec.data_rack = rack_id{"r2"};
    const candidates hosts{host("h1", "r1", 1), host("h2", "r2", 8)};
    CHECK(place(group_of(spec), hosts, fast)->front().host == host_id{"h2"});
    CHECK_FALSE(place(group_of(spec), {host("h1", "r1", 1)}, fast));
    CHECK(place(group_of(spec), {host("h1", "r1", 1)}, {}));
}

TEST_CASE("A required label and a limit for one worker hold", "[placement]") {
    auto spec = step_of(3, 1);
    spec.most_per_worker = 1;
    CHECK_FALSE(place(group_of(spec), {host("h1", "r1", 8), host("h2", "r1", 8)}, {}));
    auto group = group_of(spec);
    group.tasks = {2};
    group.on_host[host_id{"h1"}] = 1;
    CHECK(place(group, {host("h1", "r1", 8), host("h2", "r1", 8)}, {})->front().host ==
          host_id{"h2"});
    spec.required = label{"b"};
    CHECK_FALSE(place(group, {host("h1", "r1", 8), host("h2", "r1", 8)}, {}));
}

// The load: small tasks arrive all the time and take each accelerator as it becomes free, while a
// job waits for a whole host.
TEST_CASE("A host is kept for a group that needs all of it", "[room]") {
    const time_point now{10s};
    const auto wide = step_of(1, 8);
    const auto small = step_of(1, 1);
    room_view room{.left = {host("h1", "r1", 2), host("h2", "r1", 0)},
                   .releases = {{.at = now + 1s, .host = host_id{"h1"}, .amount = ::room(6)},
                                {.at = now + 9s, .host = host_id{"h2"}, .amount = ::room(8)}},
                   .reserved = {}};
    const auto later = earliest(group_of(wide), room, now, {});
    REQUIRE(later);
    CHECK(later->at == now + 1s);
    CHECK(later->places.front().host == host_id{"h1"});
    room.reserve(group_of(wide), *later);

    SECTION("a task that would run beyond the reservation waits") {
        CHECK_FALSE(place(group_of(small), room.usable(now, 2s), {}));
    }
    SECTION("one that ends before may run") {
        CHECK(place(group_of(small), room.usable(now, 500ms), {}));
    }
}

// The load: urgent jobs that need whole hosts come while cheap small tasks are spread over all.
TEST_CASE("Victims are taken from one host rather than cheap ones everywhere", "[preemption]") {
    const auto wide = step_of(1, 8);
    const candidates free{host("h1", "r1", 0), host("h2", "r1", 6)};
    const std::vector<victim> victims{victim_on("h1", 4, 1), victim_on("h1", 4, 1),
                                      victim_on("h2", 2, 5)};
    const auto plan = find_preemption(group_of(wide), free, victims, {});
    REQUIRE(plan);
    CHECK(plan->loss == 2);
    CHECK(plan->places.front().host == host_id{"h1"});
}

TEST_CASE("Victims that turn out needless are spared", "[preemption]") {
    const auto wide = step_of(1, 8);
    const candidates free{host("h1", "r1", 0)};
    const std::vector<victim> victims{victim_on("h1", 1, 1), victim_on("h1", 8, 3)};
    const auto plan = find_preemption(group_of(wide), free, victims, {});
    REQUIRE(plan);
    CHECK(plan->victims.size() == 1);
    CHECK(plan->loss == 3);
}

TEST_CASE("A group that no stopping makes room for has no plan", "[preemption]") {
    const auto wide = step_of(2, 8);
    CHECK_FALSE(
        find_preemption(group_of(wide), {host("h1", "r1", 0)}, {victim_on("h1", 8, 1)}, {}));
}
