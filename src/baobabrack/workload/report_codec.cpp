#include "baobabrack/workload/report_codec.hpp"

#include <algorithm>

#include "baobabrack/workload.pb.h"

namespace baobabrack::workload {

namespace {

std::uint64_t to_ms(duration span) {
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(whole, 0));
}

end_kind from_wire(wire::WorkloadEnd::How how) {
    switch (how) {
        case wire::WorkloadEnd::DONE:
            return end_kind::done;
        case wire::WorkloadEnd::FAILED:
            return end_kind::failed;
        case wire::WorkloadEnd::STOPPED:
            return end_kind::stopped;
        case wire::WorkloadEnd::LEASE_LAPSED:
            return end_kind::lease_lapsed;
        case wire::WorkloadEnd::GANG_BROKEN:
            return end_kind::gang_broken;
        case wire::WorkloadEnd::GANG_INCOMPLETE:
            return end_kind::gang_incomplete;
        default:
            return end_kind::unknown;
    }
}

wire::WorkloadEnd::How to_wire(end_kind how) {
    switch (how) {
        case end_kind::done:
            return wire::WorkloadEnd::DONE;
        case end_kind::failed:
            return wire::WorkloadEnd::FAILED;
        case end_kind::stopped:
            return wire::WorkloadEnd::STOPPED;
        case end_kind::lease_lapsed:
            return wire::WorkloadEnd::LEASE_LAPSED;
        case end_kind::gang_broken:
            return wire::WorkloadEnd::GANG_BROKEN;
        case end_kind::gang_incomplete:
            return wire::WorkloadEnd::GANG_INCOMPLETE;
        case end_kind::unknown:
            break;
    }
    return wire::WorkloadEnd::UNKNOWN;
}

}  // namespace

worker_report from_wire(const wire::WorkloadReport& message) {
    worker_report report{.facts = from_wire(host_id{message.host()}, message.worker()),
                         .lists_known = message.lists_known(),
                         .lease_suspended = message.lease_suspended(),
                         .lease_left = std::chrono::milliseconds{message.lease_left_ms()},
                         .lists_age = std::chrono::milliseconds{message.lists_age_ms()},
                         .runs = {},
                         .ends = {},
                         .refusals = {}};
    for (const auto& run : message.runs()) {
        report.runs.push_back({.task = from_wire(run.task()),
                               .run = run_number{run.run()},
                               .checkpoint = run.checkpoint(),
                               .percent = run.percent()});
    }
    for (const auto& end : message.ends()) {
        report.ends.push_back({.number = end.number(),
                               .task = from_wire(end.task()),
                               .run = run_number{end.run()},
                               .how = from_wire(end.how()),
                               .checkpoint = end.checkpoint()});
    }
    for (const auto& refusal : message.refusals()) {
        report.refusals.push_back({.task = from_wire(refusal.task()),
                                   .run = run_number{refusal.run()},
                                   .reason = refusal.reason()});
    }
    return report;
}

void to_wire(const worker_report& report, wire::WorkloadReport& message) {
    *message.mutable_worker() = to_wire(report.facts);
    message.set_host(report.facts.life.host.get());
    message.set_lists_known(report.lists_known);
    message.set_lease_suspended(report.lease_suspended);
    message.set_lease_left_ms(to_ms(report.lease_left));
    message.set_lists_age_ms(to_ms(report.lists_age));
    for (const auto& run : report.runs) {
        auto& into = *message.add_runs();
        *into.mutable_task() = to_wire(run.task);
        into.set_run(run.run.get());
        into.set_checkpoint(run.checkpoint);
        into.set_percent(run.percent);
    }
    for (const auto& end : report.ends) {
        auto& into = *message.add_ends();
        into.set_number(end.number);
        *into.mutable_task() = to_wire(end.task);
        into.set_run(end.run.get());
        into.set_how(to_wire(end.how));
        into.set_checkpoint(end.checkpoint);
    }
    for (const auto& refusal : report.refusals) {
        auto& into = *message.add_refusals();
        *into.mutable_task() = to_wire(refusal.task);
        into.set_run(refusal.run.get());
        into.set_reason(refusal.reason);
    }
}

void to_wire(const worker_orders& orders, wire::WorkloadOrders& message) {
    message.set_worker(orders.worker.worker.get());
    message.set_worker_incarnation(orders.worker.version.get());
    message.set_ends_stored(orders.ends_stored);
    for (const auto& start : orders.starts) {
        auto& into = *message.add_starts();
        *into.mutable_task() = to_wire(start.task);
        into.set_run(start.run.get());
        into.set_payload(start.payload);
        into.set_checkpoint(start.checkpoint);
        into.set_cpu_millicores(start.needs.cpu.get());
        into.set_memory_mib(start.needs.memory.get());
        into.set_accelerators(start.needs.accelerators.get());
    }
    for (const auto& stop : orders.stops) {
        auto& into = *message.add_stops();
        *into.mutable_task() = to_wire(stop.task);
        into.set_run(stop.run.get());
    }
}

worker_orders from_wire(const host_id& host, const wire::WorkloadOrders& message) {
    worker_orders orders{.worker = {.host = host,
                                    .worker = worker_id{message.worker()},
                                    .version = incarnation{message.worker_incarnation()}},
                         .ends_stored = message.ends_stored(),
                         .starts = {},
                         .stops = {}};
    for (const auto& start : message.starts()) {
        orders.starts.push_back(
            {.task = from_wire(start.task()),
             .run = run_number{start.run()},
             .payload = start.payload(),
             .checkpoint = start.checkpoint(),
             .needs = {.cpu = cpu_millicores{start.cpu_millicores()},
                       .memory = memory_mib{start.memory_mib()},
                       .accelerators = accelerator_count{start.accelerators()}}});
    }
    for (const auto& stop : message.stops()) {
        orders.stops.push_back({.task = from_wire(stop.task()), .run = run_number{stop.run()}});
    }
    return orders;
}

}  // namespace baobabrack::workload
