#include "baobabrack/entry/entry_metrics.hpp"

#include <array>

#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/node/entry_node.hpp"

namespace baobabrack {

namespace {

/// The name, help text and current value of a gauge.
struct reading {
    const char* name;
    const char* help;
    double value;
};

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

double free_accelerators(const fleet& workers) {
    std::uint64_t count = 0;
    for (const auto& [id, fleet_worker] : workers.workers()) {
        count += fleet_worker.free.accelerators.get();
    }
    return static_cast<double>(count);
}

}  // namespace

void update_entry_metrics(entry_node& node, metrics_registry& metrics) {
    const auto& state = node.state();
    const auto& writer = node.writer();
    const auto count = [](auto value) { return static_cast<double>(value); };
    const std::array readings{
        reading{"baobabrack_log_silence_seconds", "Time since the log was last read.",
                seconds(state.since_last_read())},
        reading{"baobabrack_log_next_offset", "Offset of the next record to apply.",
                count(state.next_offset().get())},
        reading{"baobabrack_log_proposals_waiting", "Records that wait to be appended.",
                count(writer.waiting())},
        reading{"baobabrack_log_appends", "Appends sent to the log.",
                count(writer.counters().appends)},
        reading{"baobabrack_log_lost_answers", "Appends whose answer was lost.",
                count(writer.counters().lost_answers)},
        reading{"baobabrack_log_records_refused", "Records that were void at their offset.",
                count(writer.counters().refused)},
        reading{"baobabrack_ready", "Whether callers may be sent here.", count(node.ready())},
        reading{"baobabrack_ticket_in_force", "Highest ticket number in force.",
                count(node.tickets().in_force().highest().get())},
        reading{"baobabrack_entries_acting", "Entries that are alive and take work.",
                count(node.entries().active_entries().size())},
        reading{"baobabrack_targets_known", "Targets that have announced themselves.",
                count(node.targets().targets().size())},
        reading{"baobabrack_workers", "Workers in the fleet.",
                count(node.jobs().workers().workers().size())},
        reading{"baobabrack_accelerators_free", "Accelerators that no gang holds.",
                free_accelerators(node.jobs().workers())},
        reading{"baobabrack_jobs_live", "Jobs that have not ended.", count(node.jobs().live())},
        reading{"baobabrack_requests_in_flight", "Requests that are not finished.",
                count(node.requests().in_flight())},
        reading{"baobabrack_guard_answers_dropped", "Late or doubled answers of guards.",
                count(node.guards().dropped_replies())}};
    for (const auto& gauge : readings) {
        metrics.get_gauge(gauge.name, gauge.help).set(gauge.value);
    }
}

}  // namespace baobabrack
