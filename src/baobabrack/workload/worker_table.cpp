#include "baobabrack/workload/worker_table.hpp"

#include <algorithm>

#include "baobabrack/workload.pb.h"

namespace baobabrack::workload {

namespace {

// A task can fail by its own fault, so one failing job says nothing about the worker.
constexpr std::size_t jobs_until_suspect = 2;
// Between two trials of a suspect worker, and for how long one is doubtful.
constexpr duration trial_interval = std::chrono::seconds{3};
// A task that fails by its own fault does so at any time of its run.
constexpr duration quick_failure = std::chrono::milliseconds{500};
// Weight of a new sample of a worker's speed: two slow windows in a row are needed.
constexpr double sample_weight = 0.7;
// Below this share of the expected speed a worker is avoided: less than what uneven tasks and a
// slower kind of worker explain together.
constexpr double slow_share = 0.4;
// Without a sample for this long a worker counts as sound again.
constexpr duration speed_memory = std::chrono::seconds{4};

template <typename Amount>
Amount less(const Amount& whole, const Amount& used) {
    return whole > used ? Amount{whole.get() - used.get()} : Amount{0};
}

}  // namespace

worker_facts from_wire(const host_id& host, const wire::WorkloadWorker& record) {
    worker_facts facts{
        .life = {.host = host,
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
    for (const auto& text : record.labels()) {
        facts.labels.emplace_back(text);
    }
    return facts;
}

wire::WorkloadWorker to_wire(const worker_facts& facts) {
    wire::WorkloadWorker record;
    record.set_id(facts.life.worker.get());
    record.set_incarnation(facts.life.version.get());
    record.set_service(facts.service.get());
    record.set_data_centre(facts.data_centre.get());
    record.set_rack(facts.rack.get());
    for (const auto& one : facts.labels) {
        record.add_labels(one.get());
    }
    record.set_cpu_millicores(facts.capacity.cpu.get());
    record.set_memory_mib(facts.capacity.memory.get());
    record.set_accelerators(facts.capacity.accelerators.get());
    record.set_draining(facts.draining);
    return record;
}

void run_record::succeeded() {
    failed_jobs_.clear();
    last_doubt_ = {};
}

bool run_record::is_quick(duration after) {
    return after < quick_failure;
}

void run_record::failed(const job_id& job, duration after, time_point now) {
    last_failure_ = now;
    if (is_quick(after)) {
        last_doubt_ = now;
    }
    if (std::find(failed_jobs_.begin(), failed_jobs_.end(), job) == failed_jobs_.end()) {
        failed_jobs_.push_back(job);
    }
}

void run_record::doubted(time_point now) {
    last_doubt_ = now;
}

worker_standing run_record::standing(time_point now) const {
    if (failed_jobs_.size() >= jobs_until_suspect) {
        const bool recent = now < last_failure_ + trial_interval;
        return recent ? worker_standing::suspect : worker_standing::on_trial;
    }
    const bool doubt = last_doubt_ != time_point{} && now < last_doubt_ + trial_interval;
    return doubt ? worker_standing::doubtful : worker_standing::sound;
}

void work_speed::sample(double share, bool shared, time_point now) {
    const bool was_slow = slow(now);
    average_ = value(now) * (1 - sample_weight) + std::min(share, 1.5) * sample_weight;
    shared_ = shared;
    sampled_ = now;
    slow_since_ = was_slow ? slow_since_ : now;
}

void work_speed::stalled(time_point now) {
    sample(0, false, now);
    average_ = 0;
}

duration work_speed::slow_for(time_point now) const {
    return slow(now) ? now - slow_since_ : duration::zero();
}

double work_speed::value(time_point now) const {
    return now < sampled_ + speed_memory ? average_ : 1;
}

bool work_speed::slow(time_point now) const {
    return value(now) < slow_share;
}

worker_state* worker_table::find(const host_id& host) {
    const auto found = workers_.find(host);
    return found == workers_.end() ? nullptr : &found->second;
}

const worker_state* worker_table::find(const host_id& host) const {
    const auto found = workers_.find(host);
    return found == workers_.end() ? nullptr : &found->second;
}

resources left_of(const resources& whole, const resources& used) {
    return {.cpu = less(whole.cpu, used.cpu),
            .memory = less(whole.memory, used.memory),
            .accelerators = less(whole.accelerators, used.accelerators)};
}

}  // namespace baobabrack::workload
