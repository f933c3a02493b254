#include "baobabrack/workload/worker_table.hpp"

#include <algorithm>

#include "baobabrack/workload.pb.h"

namespace baobabrack::workload {

namespace {

// A task can fail by its own fault, so failures of one job alone do not indicate a faulty worker.
constexpr std::size_t failed_jobs_until_unhealthy = 2;
// Time after a failure until an unhealthy worker enters probation, and how long a worker stays
// degraded.
constexpr duration probation_delay = std::chrono::seconds{3};
// A run counts as a success once it has gone on for this many times as long as the failed ones.
constexpr int proof_factor = 2;
// A run that fails sooner suggests a faulty worker; a faulty task fails at any time of its run.
constexpr duration quick_failure = std::chrono::milliseconds{500};
// Weight of a new speed sample, such that a worker counts as slow only after two slow windows in a
// row.
constexpr double sample_weight = 0.7;
// Workers below this share of the expected speed are avoided. Uneven tasks and a slower type of
// worker together do not explain such a low share.
constexpr double slow_threshold = 0.4;
// Without a sample for this long a worker counts as fast again.
constexpr duration sample_retention = std::chrono::seconds{4};

// A longer time is no notice of a departure. Keeps sums of times in range.
constexpr std::uint64_t max_time_left_ms = 86'400'000;

template <typename Amount>
Amount subtract(const Amount& total, const Amount& used) {
    return total > used ? Amount{total.get() - used.get()} : Amount{0};
}

}  // namespace

worker_facts from_wire(const host_id& host, const wire::WorkloadWorker& record) {
    worker_facts facts{
        .instance = {.host = host,
                     .worker = worker_id{record.id()},
                     .version = incarnation{record.incarnation()}},
        .service = service_id{record.service()},
        .data_centre = data_centre_id{record.data_centre()},
        .rack = rack_id{record.rack()},
        .labels = {},
        .capacity = {.cpu = cpu_millicores{record.cpu_millicores()},
                     .memory = memory_mib{record.memory_mib()},
                     .accelerators = accelerator_count{record.accelerators()}},
        .draining = record.draining(),
    };
    if (record.has_time_left_ms()) {
        facts.time_left = std::chrono::milliseconds{
            static_cast<std::int64_t>(std::min(record.time_left_ms(), max_time_left_ms))};
    }
    for (const auto& text : record.labels()) {
        facts.labels.emplace_back(text);
    }
    return facts;
}

wire::WorkloadWorker to_wire(const worker_facts& facts) {
    wire::WorkloadWorker record;
    record.set_id(facts.instance.worker.get());
    record.set_incarnation(facts.instance.version.get());
    record.set_service(facts.service.get());
    record.set_data_centre(facts.data_centre.get());
    record.set_rack(facts.rack.get());
    for (const auto& worker_label : facts.labels) {
        record.add_labels(worker_label.get());
    }
    record.set_cpu_millicores(facts.capacity.cpu.get());
    record.set_memory_mib(facts.capacity.memory.get());
    record.set_accelerators(facts.capacity.accelerators.get());
    record.set_draining(facts.draining);
    if (facts.time_left) {
        record.set_time_left_ms(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(*facts.time_left).count()));
    }
    return record;
}

std::string_view to_string(worker_health health) {
    switch (health) {
        case worker_health::healthy:
            return "healthy";
        case worker_health::degraded:
            return "degraded";
        case worker_health::probation:
            return "probation";
        case worker_health::unhealthy:
            return "unhealthy";
    }
    return "unknown";
}

void run_history::record_success() {
    failed_jobs_.clear();
    longest_failure_ = {};
    degraded_at_ = {};
}

bool run_history::is_quick_failure(duration after) {
    return after < quick_failure;
}

void run_history::record_failure(const job_id& job, duration after, time_point now) {
    last_failure_ = now;
    longest_failure_ = std::max(longest_failure_, after);
    if (is_quick_failure(after)) {
        degraded_at_ = now;
    }
    if (std::find(failed_jobs_.begin(), failed_jobs_.end(), job) == failed_jobs_.end()) {
        failed_jobs_.push_back(job);
    }
}

void run_history::mark_degraded(time_point now) {
    degraded_at_ = now;
}

worker_health run_history::health(time_point now) const {
    if (failed_jobs_.size() >= failed_jobs_until_unhealthy) {
        const bool recent = now < last_failure_ + probation_delay;
        return recent ? worker_health::unhealthy : worker_health::probation;
    }
    const bool degraded = degraded_at_ != time_point{} && now < degraded_at_ + probation_delay;
    return degraded ? worker_health::degraded : worker_health::healthy;
}

duration run_history::proof_time() const {
    return std::max(probation_delay, longest_failure_ * proof_factor);
}

std::string run_history::describe() const {
    return "jobs whose runs have failed there since the last success: " +
           std::to_string(failed_jobs_.size());
}

void worker_speed::add_sample(double share, bool from_gang, time_point now) {
    const bool was_slow = is_slow(now);
    average_ = value(now) * (1 - sample_weight) + std::min(share, 1.5) * sample_weight;
    from_gang_ = from_gang;
    sampled_at_ = now;
    slow_since_ = was_slow ? slow_since_ : now;
}

void worker_speed::record_stall(time_point now) {
    add_sample(0, false, now);
    average_ = 0;
}

duration worker_speed::slow_duration(time_point now) const {
    return is_slow(now) ? now - slow_since_ : duration::zero();
}

double worker_speed::value(time_point now) const {
    return now < sampled_at_ + sample_retention ? average_ : 1;
}

bool worker_speed::is_slow(time_point now) const {
    return value(now) < slow_threshold;
}

worker_state* worker_table::find(const host_id& host) {
    const auto found = workers_.find(host);
    return found == workers_.end() ? nullptr : &found->second;
}

const worker_state* worker_table::find(const host_id& host) const {
    const auto found = workers_.find(host);
    return found == workers_.end() ? nullptr : &found->second;
}

resources remaining_resources(const resources& total, const resources& used) {
    return {.cpu = subtract(total.cpu, used.cpu),
            .memory = subtract(total.memory, used.memory),
            .accelerators = subtract(total.accelerators, used.accelerators)};
}

}  // namespace baobabrack::workload
