#include "baobabrack/workload/job_spec.hpp"

#include <algorithm>

#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/record_times.hpp"

namespace baobabrack::workload {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Longer than any task that ends by itself.
constexpr duration unlimited_run_time = std::chrono::hours{24 * 365};

failure invalid(const std::string& message, const std::string& remedy) {
    return {failure_kind::invalid, message, remedy};
}

step_spec from_wire(const wire::WorkloadStep& record) {
    step_spec step{
        .tasks = record.tasks(),
        .per_task = {.cpu = cpu_millicores{record.cpu_millicores()},
                     .memory = memory_mib{record.memory_mib()},
                     .accelerators = accelerator_count{record.accelerators()}},
        .estimated = clamp_estimate(record.estimated_ms()),
        .after = {record.after().begin(), record.after().end()},
        .checkpoints = record.checkpoints(),
        .gang = record.gang(),
        .rack_local = record.rack_local(),
        .required_label = label{record.required_label()},
        .data_rack = rack_id{record.data_rack()},
        .most_per_worker = record.most_per_worker(),
        .speculative = record.speculative(),
        .long_running = record.long_running(),
    };
    return step;
}

void to_wire(const step_spec& step, wire::WorkloadStep& record) {
    record.set_tasks(step.tasks);
    record.set_cpu_millicores(step.per_task.cpu.get());
    record.set_memory_mib(step.per_task.memory.get());
    record.set_accelerators(step.per_task.accelerators.get());
    record.set_estimated_ms(
        static_cast<std::uint64_t>(duration_cast<milliseconds>(step.estimated).count()));
    for (const auto earlier : step.after) {
        record.add_after(earlier);
    }
    record.set_checkpoints(step.checkpoints);
    record.set_gang(step.gang);
    record.set_rack_local(step.rack_local);
    record.set_required_label(step.required_label.get());
    record.set_data_rack(step.data_rack.get());
    record.set_most_per_worker(step.most_per_worker);
    record.set_speculative(step.speculative);
    record.set_long_running(step.long_running);
}

}  // namespace

duration clamp_estimate(std::uint64_t estimate_ms) {
    const auto most = static_cast<std::uint64_t>(duration_cast<milliseconds>(max_estimate).count());
    return std::max<duration>(milliseconds{std::min(estimate_ms, most)}, min_estimate);
}

result<void> validate(const job_spec& spec) {
    if (spec.id.get().empty()) {
        return invalid("the job has no id", "name the job in the path");
    }
    if (spec.steps.empty()) {
        return invalid("the job has no steps", "give at least one step");
    }
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const auto& step = spec.steps[index];
        tasks += step.tasks;
        if (step.tasks == 0) {
            return invalid("step " + std::to_string(index) + " has no tasks",
                           "give a count above 0");
        }
        const auto is_later = [index](std::uint32_t earlier) { return earlier >= index; };
        if (std::any_of(step.after.begin(), step.after.end(), is_later)) {
            return invalid("step " + std::to_string(index) + " waits for itself or a later step",
                           "name only earlier steps");
        }
    }
    if (tasks > max_tasks_per_job) {
        return invalid("the job has " + std::to_string(tasks) + " tasks",
                       "split it into jobs of at most " + std::to_string(max_tasks_per_job));
    }
    if (spec.occurrences > max_occurrences) {
        return invalid("the job is repeated " + std::to_string(spec.occurrences) + " times",
                       "submit it anew after at most " + std::to_string(max_occurrences));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::size_t expected_progress_bytes(const job_spec& spec, std::size_t begun) {
    std::size_t occurrence_bytes = 0;
    for (const auto& step : spec.steps) {
        occurrence_bytes += stored_step_bytes + step.tasks * stored_task_bytes;
    }
    const auto occurrences = std::max<std::size_t>(spec.occurrences, 1);
    return begun * occurrence_bytes + occurrences * stored_occurrence_bytes;
}

result<void> check_storable(const job_spec& spec, std::size_t max_record_bytes) {
    const auto submission_bytes = to_wire(spec).ByteSizeLong();
    if (submission_bytes > max_record_bytes) {
        return invalid("the job takes " + std::to_string(submission_bytes) +
                           " bytes, and the store " + std::to_string(max_record_bytes),
                       "give it fewer steps, or a shorter payload");
    }
    const auto progress_bytes = expected_progress_bytes(spec, 1);
    if (progress_bytes > max_record_bytes) {
        return invalid("the state of the job may take " + std::to_string(progress_bytes) +
                           " bytes, and the store " + std::to_string(max_record_bytes),
                       "split it into jobs with fewer tasks or occurrences");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

duration expected_occupation(const step_spec& step) {
    return step.long_running ? unlimited_run_time : step.estimated;
}

bool has_long_running_step(const job_spec& spec) {
    return std::any_of(spec.steps.begin(), spec.steps.end(),
                       [](const step_spec& step) { return step.long_running; });
}

duration critical_path_time(const job_spec& spec) {
    std::vector<duration> ends;
    duration longest{};
    for (const auto& step : spec.steps) {
        duration start{};
        for (const auto earlier : step.after) {
            start = std::max(start, ends[earlier]);
        }
        ends.push_back(start + step.estimated);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

result<job_spec> from_wire(const wire::WorkloadSubmission& record) {
    job_spec spec{
        .id = job_id{record.id()},
        .queue = queue_id{record.queue()},
        .workspace = workspace_id{record.workspace()},
        .owner = workspace_identity{record.workspace_identity()},
        .service = service_id{record.service()},
        .config = config_version{record.config_version()},
        .priority = record.priority(),
        .most_attempts = record.most_attempts(),
        .slack_factor = record.slack_factor(),
        .target_completion = span_from_record(record.target_completion_ms()),
        .submitted = wall_time_from_record(record.submitted_unix_ms()),
        .payload = record.payload(),
        .steps = {},
        .occurrences = record.occurrences(),
        .first_due = wall_time_from_record(record.first_due_unix_ms()),
        .interval = span_from_record(record.interval_ms()),
    };
    for (const auto& step : record.steps()) {
        spec.steps.push_back(from_wire(step));
    }
    if (auto valid = validate(spec); !valid) {
        return valid.error();
    }
    return spec;
}

wire::WorkloadSubmission to_wire(const job_spec& spec) {
    wire::WorkloadSubmission record;
    record.set_id(spec.id.get());
    record.set_queue(spec.queue.get());
    record.set_workspace(spec.workspace.get());
    record.set_workspace_identity(spec.owner.get());
    record.set_service(spec.service.get());
    record.set_config_version(spec.config.get());
    record.set_priority(spec.priority);
    record.set_most_attempts(spec.most_attempts);
    record.set_slack_factor(spec.slack_factor);
    record.set_target_completion_ms(
        static_cast<std::uint64_t>(duration_cast<milliseconds>(spec.target_completion).count()));
    record.set_submitted_unix_ms(
        static_cast<std::uint64_t>(spec.submitted.time_since_epoch().count()));
    record.set_payload(spec.payload);
    for (const auto& step : spec.steps) {
        to_wire(step, *record.add_steps());
    }
    record.set_occurrences(spec.occurrences);
    record.set_first_due_unix_ms(
        static_cast<std::uint64_t>(spec.first_due.time_since_epoch().count()));
    record.set_interval_ms(
        static_cast<std::uint64_t>(duration_cast<milliseconds>(spec.interval).count()));
    return record;
}

}  // namespace baobabrack::workload
