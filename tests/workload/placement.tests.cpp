#include "baobabrack/workload/placement.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload/capacity_forecast.hpp"
#include "baobabrack/workload/preemption.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

resources room(std::uint32_t accelerators) {
    return {.cpu = cpu_millicores{64'000},
            .memory = memory_mib{64'000},
            .accelerators = accelerator_count{accelerators}};
}

/// A host in a list of candidates.
struct host {
    std::string id;
    std::string rack;
    std::uint32_t left = 0;
    bool doubtful = false;
};

/// Candidates with the facts that they point to.
class host_list {
public:
    explicit host_list(const std::vector<host>& hosts) {
        facts_.reserve(hosts.size());
        for (const auto& one : hosts) {
            worker_facts facts;
            facts.life.host = host_id{one.id};
            facts.rack = rack_id{one.rack};
            facts.labels = {label{"a"}, label{one.rack}};
            facts_.push_back(facts);
            all.push_back(
                {.facts = &facts_.back(), .available = room(one.left), .degraded = one.doubtful});
        }
    }
    host_list(const host_list&) = delete;
    host_list& operator=(const host_list&) = delete;

    candidates all;

    std::string host_of(const placed_task& placed) const {
        return all[placed.host_index].facts->life.host.get();
    }

private:
    std::vector<worker_facts> facts_;
};

step_spec step_of(std::uint32_t tasks, std::uint32_t accelerators) {
    return {.tasks = tasks,
            .per_task = {.cpu = cpu_millicores{1000},
                         .memory = memory_mib{1000},
                         .accelerators = accelerator_count{accelerators}},
            .estimated = 2s};
}

task_group group_of(const step_spec& spec) {
    task_group group{.step = {.job = job_id{"j"}}, .spec = &spec};
    for (std::uint32_t index = 0; index < spec.tasks; ++index) {
        group.tasks.push_back(index);
    }
    return group;
}

constexpr placement_constraints fast{.allow_remote = false, .allow_multiple_racks = false};

victim victim_on(std::size_t at, std::uint32_t accelerators, double loss) {
    victim one;
    one.tasks.push_back({.step = {.job = job_id{"v-" + std::to_string(loss)}}});
    one.allocations.emplace_back(at, room(accelerators));
    one.lost_work = loss;
    return one;
}

}  // namespace

TEST_CASE("A small task takes the fullest host that fits, so that whole hosts stay free",
          "[placement]") {
    const auto spec = step_of(1, 1);
    const host_list hosts({{"h1", "r1", 8}, {"h2", "r1", 2}});
    const auto places = place(group_of(spec), hosts.all, fast);
    REQUIRE(places);
    CHECK(hosts.host_of(places->front()) == "h2");
}

TEST_CASE("A gang takes all of its places or none", "[placement]") {
    auto spec = step_of(3, 4);
    spec.gang = true;
    const host_list short_by_one({{"h1", "r1", 8}, {"h2", "r1", 3}});
    CHECK_FALSE(place(group_of(spec), short_by_one.all, {}));
    const host_list enough({{"h1", "r1", 8}, {"h2", "r1", 4}});
    const auto places = place(group_of(spec), enough.all, {});
    REQUIRE(places);
    CHECK(places->size() == 3);
}

TEST_CASE("Tasks that run each for itself take the places that there are", "[placement]") {
    const auto spec = step_of(3, 4);
    const host_list hosts({{"h1", "r1", 8}, {"h2", "r1", 3}});
    CHECK(place_partial(group_of(spec), hosts.all, {}).size() == 2);
}

TEST_CASE("A rack-local gang stays in one rack unless it may be spread", "[placement]") {
    auto spec = step_of(2, 8);
    spec.gang = true;
    spec.rack_local = true;
    const host_list apart({{"h1", "r1", 8}, {"h2", "r2", 8}});
    CHECK_FALSE(place(group_of(spec), apart.all, fast));
    CHECK(place(group_of(spec), apart.all, {}));
}

TEST_CASE("Data's rack comes first, and away from it only when allowed", "[placement]") {
    auto spec = step_of(1, 1);
    spec.data_rack = rack_id{"r2"};
    const host_list hosts({{"h1", "r1", 1}, {"h2", "r2", 8}});
    CHECK(hosts.host_of(place(group_of(spec), hosts.all, fast)->front()) == "h2");
    const host_list far({{"h1", "r1", 1}});
    CHECK_FALSE(place(group_of(spec), far.all, fast));
    CHECK(place_partial(group_of(spec), far.all, fast).empty());
    CHECK(place(group_of(spec), far.all, {}));
}

TEST_CASE("A required label and a limit for one worker hold", "[placement]") {
    auto spec = step_of(3, 1);
    spec.most_per_worker = 1;
    const host_list hosts({{"h1", "r1", 8}, {"h2", "r1", 8}});
    CHECK_FALSE(place(group_of(spec), hosts.all, {}));
    CHECK(place_partial(group_of(spec), hosts.all, {}).size() == 2);
    auto group = group_of(spec);
    group.tasks = {2};
    group.tasks_on_host[host_id{"h1"}] = 1;
    CHECK(hosts.host_of(place(group, hosts.all, {})->front()) == "h2");
    spec.required_label = label{"b"};
    CHECK_FALSE(place(group, hosts.all, {}));
}

// The load: a worker fails whatever it starts within a moment, so that it always has room.
TEST_CASE("Doubtful hosts are used when the others do not suffice, avoided ones never",
          "[placement]") {
    const auto spec = step_of(1, 4);
    const host_list hosts({{"h1", "r1", 4, true}, {"h2", "r1", 8}});
    CHECK(hosts.host_of(place(group_of(spec), hosts.all, {})->front()) == "h2");
    const auto wide = step_of(3, 4);
    CHECK(place(group_of(wide), hosts.all, {}));
    CHECK(hosts.host_of(place_partial(group_of(wide), hosts.all, {}).back()) == "h1");
    auto group = group_of(wide);
    group.excluded_hosts = {host_id{"h1"}};
    CHECK_FALSE(place(group, hosts.all, {}));
}

// The load: small tasks arrive all the time and take each accelerator as it becomes free, while a
// job waits for a whole host.
TEST_CASE("A host is kept for a group that needs all of it", "[room]") {
    const time_point now{10s};
    const auto wide = step_of(1, 8);
    const auto small = step_of(1, 1);
    const host_list hosts({{"h1", "r1", 2}, {"h2", "r1", 0}});
    capacity_forecast kept(hosts.all, {{.time = now + 9s, .host_index = 1, .amount = room(8)},
                                       {.time = now + 1s, .host_index = 0, .amount = room(6)}});
    const auto later = earliest_placement(group_of(wide), kept, now, {});
    REQUIRE(later);
    CHECK(later->time == now + 1s);
    CHECK(hosts.host_of(later->places.front()) == "h1");
    kept.reserve(group_of(wide), *later);

    SECTION("a task that would run beyond the reservation waits") {
        CHECK_FALSE(place(group_of(small), kept.available_for(now, 2s), {}));
    }
    SECTION("one that ends before may run") {
        CHECK(place(group_of(small), kept.available_for(now, 500ms), {}));
    }
    SECTION("the next one gets the other host") {
        const auto next = earliest_placement(group_of(wide), kept, now, {});
        REQUIRE(next);
        CHECK(hosts.host_of(next->places.front()) == "h2");
        CHECK(next->time == now + 9s);
    }
}

TEST_CASE("A group that never fits has no later places", "[room]") {
    const auto wide = step_of(3, 8);
    const host_list hosts({{"h1", "r1", 8}, {"h2", "r1", 8}});
    CHECK_FALSE(
        earliest_placement(group_of(wide), capacity_forecast(hosts.all, {}), time_point{}, {}));
}

// The load: urgent jobs that need whole hosts come while cheap small tasks are spread over all.
TEST_CASE("Victims are taken from one host rather than cheap ones everywhere", "[preemption]") {
    const auto wide = step_of(1, 8);
    const host_list free({{"h1", "r1", 0}, {"h2", "r1", 6}});
    const std::vector<victim> victims{victim_on(0, 4, 1), victim_on(0, 4, 1), victim_on(1, 2, 5)};
    const auto plan = find_preemption(group_of(wide), free.all, victims, {});
    REQUIRE(plan);
    CHECK(plan->lost_work == 2);
    CHECK(free.host_of(plan->places.front()) == "h1");
}

TEST_CASE("Victims that turn out needless are spared", "[preemption]") {
    const auto wide = step_of(1, 8);
    const host_list free({{"h1", "r1", 0}});
    const std::vector<victim> victims{victim_on(0, 1, 1), victim_on(0, 8, 3)};
    const auto plan = find_preemption(group_of(wide), free.all, victims, {});
    REQUIRE(plan);
    CHECK(plan->victims.size() == 1);
    CHECK(plan->lost_work == 3);
}

// The load: a gang over two hosts is stopped for a job that needs both of them.
TEST_CASE("What is stopped for one place is free for the next", "[preemption]") {
    const auto wide = step_of(2, 8);
    const host_list free({{"h1", "r1", 0}, {"h2", "r1", 0}, {"h3", "r1", 0}});
    victim gang = victim_on(0, 8, 10);
    gang.allocations.emplace_back(1, room(8));
    const auto plan = find_preemption(group_of(wide), free.all, {gang, victim_on(2, 8, 9)}, {});
    REQUIRE(plan);
    CHECK(plan->lost_work <= 19);
    const auto two = find_preemption(group_of(wide), free.all, {gang, victim_on(2, 8, 11)}, {});
    REQUIRE(two);
    CHECK(two->victims == std::vector<std::size_t>{0});
}

TEST_CASE("A rack-local gang gets the rack where room costs the least", "[preemption]") {
    auto wide = step_of(2, 8);
    wide.gang = true;
    wide.rack_local = true;
    const host_list free({{"h1", "r1", 0}, {"h2", "r1", 0}, {"h3", "r2", 0}, {"h4", "r2", 0}});
    const std::vector<victim> victims{victim_on(0, 8, 1), victim_on(1, 8, 9), victim_on(2, 8, 3),
                                      victim_on(3, 8, 3)};
    const auto plan = find_preemption(group_of(wide), free.all, victims, fast);
    REQUIRE(plan);
    CHECK(plan->lost_work == 6);
}

TEST_CASE("A group that no stopping makes room for has no plan", "[preemption]") {
    const auto wide = step_of(2, 8);
    const host_list free({{"h1", "r1", 0}});
    CHECK_FALSE(find_preemption(group_of(wide), free.all, {victim_on(0, 8, 1)}, {}));
}
