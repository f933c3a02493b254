#include "baobabrack/workload/report_codec.hpp"

#include <algorithm>

#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/record_times.hpp"

namespace baobabrack::workload {

namespace {

// Both messages have the same three fields.
template <typename Message>
resources needs_from_wire(const Message& message) {
    return {.cpu = cpu_millicores{message.cpu_millicores()},
            .memory = memory_mib{message.memory_mib()},
            .accelerators = accelerator_count{message.accelerators()}};
}

template <typename Message>
void needs_to_wire(const resources& needs, Message& message) {
    message.set_cpu_millicores(needs.cpu.get());
    message.set_memory_mib(needs.memory.get());
    message.set_accelerators(needs.accelerators.get());
}

std::uint64_t to_ms(duration span) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0));
}

run_outcome outcome_from_wire(wire::WorkloadEnd::How how) {
    switch (how) {
        case wire::WorkloadEnd::DONE:
            return run_outcome::done;
        case wire::WorkloadEnd::FAILED:
            return run_outcome::failed;
        case wire::WorkloadEnd::STOPPED:
            return run_outcome::stopped;
        case wire::WorkloadEnd::LEASE_LAPSED:
            return run_outcome::lease_lapsed;
        case wire::WorkloadEnd::GANG_BROKEN:
            return run_outcome::gang_broken;
        case wire::WorkloadEnd::GANG_INCOMPLETE:
            return run_outcome::gang_incomplete;
        default:
            return run_outcome::unknown;
    }
}

wire::WorkloadEnd::How outcome_to_wire(run_outcome how) {
    switch (how) {
        case run_outcome::done:
            return wire::WorkloadEnd::DONE;
        case run_outcome::failed:
            return wire::WorkloadEnd::FAILED;
        case run_outcome::stopped:
            return wire::WorkloadEnd::STOPPED;
        case run_outcome::lease_lapsed:
            return wire::WorkloadEnd::LEASE_LAPSED;
        case run_outcome::gang_broken:
            return wire::WorkloadEnd::GANG_BROKEN;
        case run_outcome::gang_incomplete:
            return wire::WorkloadEnd::GANG_INCOMPLETE;
        case run_outcome::unknown:
            break;
    }
    return wire::WorkloadEnd::UNKNOWN;
}

replaced_worker replaced_from_wire(const wire::WorkloadReport& message) {
    const auto& previous = message.previous_worker();
    replaced_worker replaced{.instance = {.host = host_id{message.host()},
                                          .worker = worker_id{previous.worker()},
                                          .version = incarnation{previous.incarnation()}},
                             .lists_age = span_from_record(message.previous_lists_age_ms()),
                             .runs = {}};
    for (const auto& run : message.previous_runs()) {
        replaced.runs.push_back(
            {.task = from_wire(run.task()), .run = run_number{run.run()}, .begun = run.begun()});
    }
    return replaced;
}

void replaced_to_wire(const replaced_worker& replaced, wire::WorkloadReport& message) {
    message.mutable_previous_worker()->set_worker(replaced.instance.worker.get());
    message.mutable_previous_worker()->set_incarnation(replaced.instance.version.get());
    message.set_previous_lists_age_ms(to_ms(replaced.lists_age));
    for (const auto& run : replaced.runs) {
        auto& encoded = *message.add_previous_runs();
        *encoded.mutable_task() = to_wire(run.task);
        encoded.set_run(run.run.get());
        encoded.set_begun(run.begun);
    }
}

}  // namespace

worker_report from_wire(const wire::WorkloadReport& message) {
    worker_report report{.facts = from_wire(host_id{message.host()}, message.worker()),
                         .lists_known = message.lists_known(),
                         .lease_suspended = message.lease_suspended(),
                         .lease_remaining = span_from_record(message.lease_left_ms()),
                         .lists_age = span_from_record(message.lists_age_ms()),
                         .capacity_outdated = message.capacity_outdated(),
                         .worker_age = span_from_record(message.worker_age_ms()),
                         .runs = {},
                         .ends = {},
                         .refusals = {}};
    if (message.has_previous_worker()) {
        report.replaced = replaced_from_wire(message);
    }
    for (const auto& run : message.runs()) {
        report.runs.push_back({.task = from_wire(run.task()),
                               .run = run_number{run.run()},
                               .checkpoint = run.checkpoint(),
                               .percent = run.percent(),
                               .listed = run.listed(),
                               .begun = run.begun(),
                               .needs_unknown = run.needs_unknown()});
    }
    for (const auto& end : message.ends()) {
        report.ends.push_back({.sequence = end.number(),
                               .task = from_wire(end.task()),
                               .run = run_number{end.run()},
                               .outcome = outcome_from_wire(end.how()),
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
    message.set_host(report.facts.instance.host.get());
    message.set_lists_known(report.lists_known);
    message.set_lease_suspended(report.lease_suspended);
    message.set_lease_left_ms(to_ms(report.lease_remaining));
    message.set_lists_age_ms(to_ms(report.lists_age));
    message.set_capacity_outdated(report.capacity_outdated);
    message.set_worker_age_ms(to_ms(report.worker_age));
    if (report.replaced) {
        replaced_to_wire(*report.replaced, message);
    }
    for (const auto& run : report.runs) {
        auto& encoded = *message.add_runs();
        *encoded.mutable_task() = to_wire(run.task);
        encoded.set_run(run.run.get());
        encoded.set_checkpoint(run.checkpoint);
        encoded.set_percent(run.percent);
        encoded.set_listed(run.listed);
        encoded.set_begun(run.begun);
        encoded.set_needs_unknown(run.needs_unknown);
    }
    for (const auto& end : report.ends) {
        auto& encoded = *message.add_ends();
        encoded.set_number(end.sequence);
        *encoded.mutable_task() = to_wire(end.task);
        encoded.set_run(end.run.get());
        encoded.set_how(outcome_to_wire(end.outcome));
        encoded.set_checkpoint(end.checkpoint);
    }
    for (const auto& refusal : report.refusals) {
        auto& encoded = *message.add_refusals();
        *encoded.mutable_task() = to_wire(refusal.task);
        encoded.set_run(refusal.run.get());
        encoded.set_reason(refusal.reason);
    }
}

void to_wire(const worker_orders& orders, wire::WorkloadOrders& message) {
    message.set_worker(orders.worker.worker.get());
    message.set_worker_incarnation(orders.worker.version.get());
    message.set_ends_stored(orders.ends_stored);
    for (const auto& start : orders.starts) {
        auto& encoded = *message.add_starts();
        *encoded.mutable_task() = to_wire(start.task);
        encoded.set_run(start.run.get());
        encoded.set_payload(start.payload);
        encoded.set_checkpoint(start.checkpoint);
        needs_to_wire(start.needs, encoded);
        encoded.set_confirm_worker(start.confirm_worker);
    }
    for (const auto& known : orders.needs) {
        auto& encoded = *message.add_needs();
        *encoded.mutable_task() = to_wire(known.task);
        encoded.set_run(known.run.get());
        needs_to_wire(known.needs, encoded);
    }
    for (const auto& stop : orders.stops) {
        auto& encoded = *message.add_stops();
        *encoded.mutable_task() = to_wire(stop.task);
        encoded.set_run(stop.run.get());
    }
}

worker_orders from_wire(const host_id& host, const wire::WorkloadOrders& message) {
    worker_orders orders{.worker = {.host = host,
                                    .worker = worker_id{message.worker()},
                                    .version = incarnation{message.worker_incarnation()}},
                         .ends_stored = message.ends_stored(),
                         .starts = {},
                         .stops = {},
                         .needs = {}};
    for (const auto& start : message.starts()) {
        orders.starts.push_back({.task = from_wire(start.task()),
                                 .run = run_number{start.run()},
                                 .payload = start.payload(),
                                 .checkpoint = start.checkpoint(),
                                 .needs = needs_from_wire(start),
                                 .confirm_worker = start.confirm_worker()});
    }
    for (const auto& known : message.needs()) {
        orders.needs.push_back({.task = from_wire(known.task()),
                                .run = run_number{known.run()},
                                .needs = needs_from_wire(known)});
    }
    for (const auto& stop : message.stops()) {
        orders.stops.push_back({.task = from_wire(stop.task()), .run = run_number{stop.run()}});
    }
    return orders;
}

}  // namespace baobabrack::workload
