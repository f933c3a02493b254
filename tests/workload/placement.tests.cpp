#include "baobabrack/workload/placement.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload/capacity_forecast.hpp"
#include "baobabrack/workload/preemption.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

resources capacity(std::uint32_t accelerators) {
    return {.cpu = cpu_millicores{64'000},
            .memory = memory_mib{64'000},
            .accelerators = accelerator_count{accelerators}};
}

/// Describes a candidate.
struct test_host {
    std::string id;
    std::string rack;
    std::uint32_t accelerators = 0;
    bool degraded = false;
};

/// Owns candidates and the facts that they point to.
class host_list {
public:
    explicit host_list(const std::vector<test_host>& hosts) {
        facts_.reserve(hosts.size());
        for (const auto& host : hosts) {
            worker_facts facts;
            facts.instance.host = host_id{host.id};
            facts.rack = rack_id{host.rack};
            facts.labels = {label{"a"}, label{host.rack}};
            facts_.push_back(facts);
            all.push_back({.facts = &facts_.back(),
                           .available = capacity(host.accelerators),
                           .degraded = host.degraded});
        }
    }
    host_list(const host_list&) = delete;
    host_list& operator=(const host_list&) = delete;

    candidates all;

    std::string host_of(const placed_task& placed) const {
        return all[placed.host_index].facts->instance.host.get();
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

constexpr placement_constraints strict{.allow_remote = false, .allow_multiple_racks = false};

victim victim_on(std::size_t host_index, std::uint32_t accelerators, double lost_work) {
    victim result;
    result.tasks.push_back({.step = {.job = job_id{"v-" + std::to_string(lost_work)}}});
    result.allocations.emplace_back(host_index, capacity(accelerators));
    result.lost_work = lost_work;
    return result;
}

}  // namespace

TEST_CASE("A small task is placed on the fullest host that fits, so that empty hosts stay empty",
          "[placement]") {
    const auto spec = step_of(1, 1);
    const host_list hosts({{"h1", "r1", 8}, {"h2", "r1", 2}});
    const auto places = place(group_of(spec), hosts.all, strict);
    REQUIRE(places);
    CHECK(hosts.host_of(places->front()) == "h2");
}

TEST_CASE("All tasks of a gang are placed, or none", "[placement]") {
    auto spec = step_of(3, 4);
    spec.gang = true;
    const host_list too_small({{"h1", "r1", 8}, {"h2", "r1", 3}});
    CHECK_FALSE(place(group_of(spec), too_small.all, {}));
    const host_list enough({{"h1", "r1", 8}, {"h2", "r1", 4}});
    const auto places = place(group_of(spec), enough.all, {});
    REQUIRE(places);
    CHECK(places->size() == 3);
}

TEST_CASE("Independent tasks are placed as far as the free capacity allows", "[placement]") {
    const auto spec = step_of(3, 4);
    const host_list hosts({{"h1", "r1", 8}, {"h2", "r1", 3}});
    CHECK(place_partial(group_of(spec), hosts.all, {}).size() == 2);
}

TEST_CASE("A rack-local gang stays in one rack unless several racks are allowed", "[placement]") {
    auto spec = step_of(2, 8);
    spec.gang = true;
    spec.rack_local = true;
    const host_list two_racks({{"h1", "r1", 8}, {"h2", "r2", 8}});
    CHECK_FALSE(place(group_of(spec), two_racks.all, strict));
    CHECK(place(group_of(spec), two_racks.all, {}));
}

TEST_CASE("The rack of the data is preferred, and other racks are used only if allowed",
          "[placement]") {
    auto spec = step_of(1, 1);
    spec.data_rack = rack_id{"r2"};
    const host_list hosts({{"h1", "r1", 1}, {"h2", "r2", 8}});
    CHECK(hosts.host_of(place(group_of(spec), hosts.all, strict)->front()) == "h2");
    const host_list remote({{"h1", "r1", 1}});
    CHECK_FALSE(place(group_of(spec), remote.all, strict));
    CHECK(place_partial(group_of(spec), remote.all, strict).empty());
    CHECK(place(group_of(spec), remote.all, {}));
}

TEST_CASE("A required label and the limit of tasks per worker are respected", "[placement]") {
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

// Guards against a worker that fails every run right after its start and therefore always has free
// capacity, so that it attracts one run after the other.
TEST_CASE("Degraded hosts are used only if the others do not suffice, excluded hosts never",
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

// Guards against the starvation of a job that needs a whole host: a steady stream of small tasks
// would take each accelerator as soon as it is released.
TEST_CASE("A host is reserved for a group that needs all of it", "[forecast]") {
    const time_point now{10s};
    const auto wide = step_of(1, 8);
    const auto small = step_of(1, 1);
    const host_list hosts({{"h1", "r1", 2}, {"h2", "r1", 0}});
    capacity_forecast forecast(hosts.all,
                               {{.time = now + 9s, .host_index = 1, .amount = capacity(8)},
                                {.time = now + 1s, .host_index = 0, .amount = capacity(6)}});
    const auto placement = earliest_placement(group_of(wide), forecast, now, {});
    REQUIRE(placement);
    CHECK(placement->time == now + 1s);
    CHECK(hosts.host_of(placement->places.front()) == "h1");
    forecast.reserve(group_of(wide), *placement);

    SECTION("a task that would run into the reservation is not placed") {
        CHECK_FALSE(place(group_of(small), forecast.available_for(now, 2s), {}));
    }
    SECTION("a task that ends before the reservation begins is placed") {
        CHECK(place(group_of(small), forecast.available_for(now, 500ms), {}));
    }
    SECTION("the next group gets the other host") {
        const auto next = earliest_placement(group_of(wide), forecast, now, {});
        REQUIRE(next);
        CHECK(hosts.host_of(next->places.front()) == "h2");
        CHECK(next->time == now + 9s);
    }
}

TEST_CASE("A group that never fits has no future placement", "[forecast]") {
    const auto wide = step_of(3, 8);
    const host_list hosts({{"h1", "r1", 8}, {"h2", "r1", 8}});
    CHECK_FALSE(
        earliest_placement(group_of(wide), capacity_forecast(hosts.all, {}), time_point{}, {}));
}

// Guards against stopping cheap runs on many hosts without freeing a whole one, when urgent jobs
// need whole hosts and small tasks are spread over all of them.
TEST_CASE("Victims are selected on one host rather than across hosts", "[preemption]") {
    const auto wide = step_of(1, 8);
    const host_list free({{"h1", "r1", 0}, {"h2", "r1", 6}});
    const std::vector<victim> victims{victim_on(0, 4, 1), victim_on(0, 4, 1), victim_on(1, 2, 5)};
    const auto plan = find_preemption(group_of(wide), free.all, victims, {});
    REQUIRE(plan);
    CHECK(plan->lost_work == 2);
    CHECK(free.host_of(plan->places.front()) == "h1");
}

TEST_CASE("Victims that turn out to be redundant are not stopped", "[preemption]") {
    const auto wide = step_of(1, 8);
    const host_list free({{"h1", "r1", 0}});
    const std::vector<victim> victims{victim_on(0, 1, 1), victim_on(0, 8, 3)};
    const auto plan = find_preemption(group_of(wide), free.all, victims, {});
    REQUIRE(plan);
    CHECK(plan->victims.size() == 1);
    CHECK(plan->lost_work == 3);
}

// Covers a gang on two hosts that is stopped for a job that needs both of them: the second host
// must count as free once the gang is selected.
TEST_CASE("Capacity freed for one task is available to the next", "[preemption]") {
    const auto wide = step_of(2, 8);
    const host_list free({{"h1", "r1", 0}, {"h2", "r1", 0}, {"h3", "r1", 0}});
    victim gang = victim_on(0, 8, 10);
    gang.allocations.emplace_back(1, capacity(8));
    const auto plan = find_preemption(group_of(wide), free.all, {gang, victim_on(2, 8, 9)}, {});
    REQUIRE(plan);
    CHECK(plan->lost_work <= 19);
    const auto gang_only =
        find_preemption(group_of(wide), free.all, {gang, victim_on(2, 8, 11)}, {});
    REQUIRE(gang_only);
    CHECK(gang_only->victims == std::vector<std::size_t>{0});
}

TEST_CASE("A rack-local gang gets the rack with the least lost work", "[preemption]") {
    auto wide = step_of(2, 8);
    wide.gang = true;
    wide.rack_local = true;
    const host_list free({{"h1", "r1", 0}, {"h2", "r1", 0}, {"h3", "r2", 0}, {"h4", "r2", 0}});
    const std::vector<victim> victims{victim_on(0, 8, 1), victim_on(1, 8, 9), victim_on(2, 8, 3),
                                      victim_on(3, 8, 3)};
    const auto plan = find_preemption(group_of(wide), free.all, victims, strict);
    REQUIRE(plan);
    CHECK(plan->lost_work == 6);
}

TEST_CASE("There is no plan if a group does not fit even when all victims are stopped",
          "[preemption]") {
    const auto wide = step_of(2, 8);
    const host_list free({{"h1", "r1", 0}});
    CHECK_FALSE(find_preemption(group_of(wide), free.all, {victim_on(0, 8, 1)}, {}));
}
