#include "workload_deployments.hpp"

#include <algorithm>

namespace baobabrack::bench {

namespace {

constexpr std::uint32_t accelerators_per_host = 8;

resources amount(std::uint32_t cores, std::uint32_t memory_gib, std::uint32_t accelerators) {
    constexpr std::uint32_t millicores = 1000;
    constexpr std::uint32_t mib = 1024;
    return {.cpu = cpu_millicores{cores * millicores},
            .memory = memory_mib{memory_gib * mib},
            .accelerators = accelerator_count{accelerators}};
}

resources task(std::uint32_t millicores, std::uint32_t memory) {
    return {.cpu = cpu_millicores{millicores}, .memory = memory_mib{memory}, .accelerators = {}};
}

// Urgent work of a few seconds, by customers who wait.
workload_kind urgent_kind() {
    return {.name = "urgent",
            .priority = 0,
            .worth = 4,
            .late_worth = 0.8,
            .most_attempts = 4,
            .slack_factor = 1.5,
            .target_completion_s = 0.4,
            .steps = {},
            .width = {.mean = 3.2, .spread = 0.8, .most = 20},
            .run_s = {.mean = 2.5, .spread = 0.5, .most = 8},
            .uneven = 0.3,
            .estimate_error = 0.3,
            .per_task = task(5'000, 16'000),
            .accelerators = {1, 2, 4, 8, 8},
            .gangs = true,
            .rack_local_share = 0.8,
            .failing_share = 0.03};
}

// Work of ten seconds or so, on whole hosts at times.
workload_kind normal_kind() {
    return {.name = "normal",
            .priority = 1,
            .worth = 3,
            .late_worth = 0.5,
            .most_attempts = 3,
            .slack_factor = 3,
            .target_completion_s = 1.2,
            .steps = {},
            .width = {.mean = 1.5, .spread = 0.8, .most = 9},
            .run_s = {.mean = 9, .spread = 0.3, .most = 11},
            .uneven = 0.15,
            .estimate_error = 0.2,
            .accelerators = {1, 2, 4, 8, 8},
            .gangs = true,
            .rack_local_share = 0.6,
            .checkpoint_share = 0.45,
            .data_rack_share = 0.2,
            .cancel_share = 0.05,
            .failing_share = 0.02,
            .waiting_at_start = 4};
}

// Many small tasks of which none is urgent.
workload_kind batch_kind() {
    return {.name = "batch",
            .priority = 2,
            .worth = 1,
            .late_worth = 0.2,
            .most_attempts = 3,
            .slack_factor = 3,
            .target_completion_s = 3,
            .steps = {.mean = 1.3, .spread = 0.4, .most = 3.2},
            .width = {.mean = 9.2, .spread = 0.8, .most = 55},
            .run_s = {.mean = 8, .spread = 0.3, .most = 11},
            .uneven = 0.25,
            .estimate_error = 0.4,
            .accelerators = {1},
            .checkpoint_share = 0.45,
            .apart_share = 0.12,
            .cancel_share = 0.15,
            .failing_share = 0.01,
            .waiting_at_start = 2};
}

workload_deployment flechtal() {
    workload_deployment made{.name = "flechtal",
                             .hosts = 11,
                             .hosts_per_rack = 3,
                             .per_host = amount(64, 256, accelerators_per_host),
                             .waste_price = 0.0024,
                             .kinds = {normal_kind(), urgent_kind(), batch_kind()}};
    made.kinds[0].per_second = 0.32;
    made.kinds[0].run_s.mean = 11;
    made.kinds[0].per_task = task(26'000, 140'000);
    made.kinds[0].late_worth = 0.3;
    made.kinds[1].per_second = 0.37;
    made.kinds[1].per_task = task(7'500, 22'000);
    made.kinds[2].per_second = 0.25;
    made.kinds[2].run_s.mean = 6.1;
    made.kinds[2].per_task = task(5'600, 29'000);
    made.kinds[2].late_worth = 0.1;
    return made;
}

workload_deployment nibworks() {
    workload_deployment made{.name = "nibworks",
                             .hosts = 11,
                             .hosts_per_rack = 3,
                             .per_host = amount(32, 64, accelerators_per_host),
                             .stop_s = 0.4,
                             .waste_price = 0.0034,
                             .kinds = {normal_kind(), urgent_kind(), batch_kind()}};
    made.kinds[0].per_second = 0.57;
    made.kinds[0].run_s.mean = 6.8;
    made.kinds[0].per_task = task(13'000, 26'000);
    made.kinds[0].late_worth = 0.9;
    made.kinds[1].per_second = 0.38;
    made.kinds[1].per_task = task(3'700, 9'800);
    made.kinds[1].estimate_error = 0.5;
    made.kinds[1].most_attempts = 2;
    made.kinds[2].per_second = 0.18;
    made.kinds[2].run_s.mean = 9.5;
    made.kinds[2].per_task = task(2'800, 4'100);
    made.kinds[2].late_worth = 0.3;
    return made;
}

// The same users after they have grown: more hosts, wider jobs, estimates that are far off.
workload_deployment grown(workload_deployment made, const std::string& name) {
    made.name = name;
    made.hosts = 55;
    made.hosts_per_rack = 4;
    made.checkpoint_interval_s = 2;
    made.restore_s = 0.25;
    made.stop_s = 0.4;
    made.waste_price = 0.0013;
    for (auto& kind : made.kinds) {
        kind.most_attempts = 2;
    }
    made.kinds[0].width = {.mean = 5.7, .spread = 0.8, .most = 34};
    made.kinds[0].run_s.mean = 8.5;
    made.kinds[0].per_second = 0.78;
    made.kinds[0].per_task.memory = memory_mib{made.per_host.memory.get() * 2 / 5};
    made.kinds[1].width = {.mean = 5.2, .spread = 0.8, .most = 32};
    made.kinds[1].per_second = 1.75;
    made.kinds[1].estimate_error = 0.6;
    made.kinds[2].width = {.mean = 34, .spread = 0.8, .most = 210};
    made.kinds[2].run_s.mean = 9.5;
    made.kinds[2].per_second = 0.3;
    made.kinds[2].estimate_error = 0.9;
    return made;
}

workload_deployment flechtal_grown() {
    auto made = grown(flechtal(), "flechtal-grown");
    made.per_host = amount(64, 128, accelerators_per_host);
    made.kinds[1].estimate_error = 0.9;
    made.kinds[2].per_task = task(5'600, 11'000);
    return made;
}

// 160 hosts in racks of 8, and gangs of up to 76 tasks.
workload_deployment flechtal_large() {
    auto made = flechtal_grown();
    made.name = "flechtal-large";
    made.hosts = 160;
    made.hosts_per_rack = 8;
    made.waste_price = 0.0011;
    made.kinds[0].width = {.mean = 13, .spread = 0.8, .most = 76};
    made.kinds[0].per_second = 1.02;
    made.kinds[0].waiting_at_start = 7;
    made.kinds[1].per_second = 5.07;
    made.kinds[1].most_attempts = 4;
    made.kinds[2].width = {.mean = 38, .spread = 0.8, .most = 230};
    made.kinds[2].per_second = 0.8;
    made.kinds[2].waiting_at_start = 9;
    return made;
}

// A repair dispatcher: all but the urgent estimates are far off.
workload_deployment portaovivo() {
    auto made = flechtal();
    made.name = "portaovivo";
    made.per_host = amount(128, 512, accelerators_per_host);
    made.restore_s = 0.6;
    made.waste_price = 0.0023;
    for (auto& kind : made.kinds) {
        kind.most_attempts = 2;
        kind.uneven = 0.3;
        kind.estimate_error = 0.9;
    }
    made.kinds[0].run_s.mean = 6.8;
    made.kinds[0].per_second = 0.51;
    made.kinds[0].per_task = task(52'000, 210'000);
    made.kinds[0].late_worth = 0.9;
    made.kinds[1].width.mean = 3.4;
    made.kinds[1].per_second = 0.47;
    made.kinds[1].per_task = task(15'000, 79'000);
    made.kinds[1].estimate_error = 0.5;
    made.kinds[2].per_task = task(11'000, 59'000);
    made.kinds[2].late_worth = 0.3;
    return made;
}

workload_deployment portaovivo_grown() {
    auto made = grown(portaovivo(), "portaovivo-grown");
    made.hosts = 57;
    made.per_host = amount(128, 256, accelerators_per_host);
    made.restore_s = 0.6;
    made.stop_s = 0.2;
    made.waste_price = 0.00097;
    made.kinds[0].width.mean = 5.9;
    made.kinds[0].run_s.mean = 6.8;
    made.kinds[0].per_second = 0.93;
    made.kinds[0].per_task = task(52'000, 75'000);
    made.kinds[0].estimate_error = 0.9;
    made.kinds[1].width.mean = 5.4;
    made.kinds[1].per_second = 1.79;
    made.kinds[1].per_task = task(15'000, 22'000);
    made.kinds[1].estimate_error = 0.2;
    made.kinds[2].width.mean = 39;
    made.kinds[2].per_second = 0.27;
    made.kinds[2].per_task = task(11'000, 23'000);
    return made;
}

std::vector<workload_deployment> all_deployments() {
    return {flechtal(),       nibworks(),   flechtal_grown(),  grown(nibworks(), "nibworks-grown"),
            flechtal_large(), portaovivo(), portaovivo_grown()};
}

}  // namespace

std::optional<workload_deployment> find_workload_deployment(std::string_view name) {
    for (auto& one : all_deployments()) {
        if (one.name == name) {
            return std::move(one);
        }
    }
    return std::nullopt;
}

std::vector<std::string> workload_deployment_names() {
    std::vector<std::string> names;
    for (const auto& one : all_deployments()) {
        names.push_back(one.name);
    }
    return names;
}

}  // namespace baobabrack::bench
