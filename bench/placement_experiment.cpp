#include "placement_experiment.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <deque>
#include <fstream>
#include <iostream>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "baobabrack/placement/guarantee_planner.hpp"
#include "baobabrack/platform.pb.h"
#include "baobabrack/world/directory.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack::bench {

namespace {

constexpr std::uint32_t workers_per_rack = 24;
constexpr std::uint32_t centre_count = 8;
constexpr std::uint32_t accelerator_rack_period = 8;
/// Tasks for each worker, as at the target size.
constexpr double tasks_per_worker = 3.5;

struct running_gang {
    planned_job job;
    std::vector<gang_member> members;
};

struct timings {
    double p50_us = 0;
    double p99_us = 0;
    double events_per_second = 0;
    std::size_t running = 0;
    std::uint64_t resident_kib = 0;
    /// Per event of a wave of submissions, and of the wave that cancels them.
    double submitted_us = 0;
    double cancelled_us = 0;
};

std::uint64_t resident_kib() {
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            std::uint64_t kib = 0;
            status >> kib;
            return kib;
        }
    }
    return 0;
}

/// Keeps a fleet loaded: each event submits a gang and ends the oldest one when there are enough.
class load_run {
public:
    load_run(std::uint32_t workers, std::uint32_t events)
        : random_(workers), planner_({}, workers_, tickets_) {
        for (std::uint32_t number = 0; number < workers; ++number) {
            join(number);
        }
        const auto tasks = static_cast<std::size_t>(workers * tasks_per_worker);
        while (tasks_ < tasks) {
            submit();
            decide();
        }
        for (std::uint32_t event = 0; event < events; ++event) {
            step();
        }
        wave();
    }

    timings result() {
        std::sort(took_us_.begin(), took_us_.end());
        double sum = 0;
        for (const auto one : took_us_) {
            sum += one;
        }
        constexpr double p99 = 0.99;
        constexpr double us_per_second = 1e6;
        const auto last = static_cast<double>(took_us_.size() - 1);
        return {.p50_us = took_us_[took_us_.size() / 2],
                .p99_us = took_us_[static_cast<std::size_t>(last * p99)],
                .events_per_second =
                    static_cast<double>(took_us_.size()) * us_per_second / std::max(sum, 1.0),
                .running = tasks_,
                .resident_kib = resident_kib(),
                .submitted_us = submitted_us_,
                .cancelled_us = cancelled_us_};
    }

private:
    void join(std::uint32_t number) {
        const auto rack = number / workers_per_rack;
        const auto centre = rack % centre_count;
        wire::WorkerFacts facts;
        facts.set_worker("worker-" + std::to_string(number));
        facts.set_incarnation(1);
        facts.mutable_location()->set_region("region-" + std::to_string(centre % 3));
        facts.mutable_location()->set_data_centre("centre-" + std::to_string(centre));
        facts.mutable_location()->set_rack("rack-" + std::to_string(rack));
        facts.mutable_capacity()->set_cpu_millicores(64000);
        facts.mutable_capacity()->set_memory_mib(262144);
        const bool accelerated = rack / centre_count % accelerator_rack_period == 0;
        facts.mutable_capacity()->set_accelerators(accelerated ? 8 : 0);
        workers_.join(facts);
    }

    planned_job make_job() {
        planned_job job;
        job.id = job_id{"job-" + std::to_string(next_++)};
        job.workspace = workspace_id{"team-" + std::to_string(next_ % 190)};
        job.submitted = now_;
        job.checkpointable = next_ % 8 != 0;
        job.declared_run = std::chrono::hours(1 + random_() % 8);
        const auto kind = random_() % 10;
        auto& member = *job.shape.mutable_per_member();
        member.set_cpu_millicores(4000);
        member.set_memory_mib(8192);
        job.shape.set_members(kind < 6 ? 8 : 1 + random_() % 4);
        job.shape.set_adjacency(kind < 6 ? wire::ADJACENCY_RACK : wire::ADJACENCY_WORKER);
        member.set_accelerators(kind < 8 ? 0 : 1);
        return job;
    }

    void submit() {
        const auto job = make_job();
        waiting_.emplace(job.id, job);
        planner_.job_queued(job);
    }

    void end_oldest() {
        if (running_.empty()) {
            return;
        }
        const auto gang = std::move(running_.front());
        running_.pop_front();
        const auto unit = query_of(gang.job).unit;
        for (const auto& member : gang.members) {
            workers_.release(member.worker, incarnation{1}, unit, member.count);
            tasks_ -= member.count;
        }
        planner_.gang_ended(gang.job.id, gang_end::finished, now_);
    }

    void decide() {
        now_ += std::chrono::seconds(1);
        const auto decided = planner_.decide(now_);
        for (const auto& start : decided.starts) {
            const auto job = waiting_.at(start.job);
            waiting_.erase(start.job);
            const auto unit = query_of(job).unit;
            for (const auto& member : start.members) {
                workers_.allocate(member.worker, unit, member.count);
                tasks_ += member.count;
            }
            planner_.gang_started(job, start.members, now_);
            running_.push_back({job, start.members});
        }
    }

    /// Times one submission, one end of a gang and the decision after them.
    void step() {
        const auto before = std::chrono::steady_clock::now();
        submit();
        end_oldest();
        decide();
        const auto took = std::chrono::steady_clock::now() - before;
        took_us_.push_back(std::chrono::duration<double, std::micro>(took).count());
    }

    /// Submits thousands of gangs at once, then cancels them, waiting or running.
    void wave() {
        using clock = std::chrono::steady_clock;
        using microseconds = std::chrono::duration<double, std::micro>;
        constexpr std::uint32_t wave_size = 5000;
        const auto begin = clock::now();
        for (std::uint32_t number = 0; number < wave_size; ++number) {
            submit();
        }
        decide();
        submitted_us_ = microseconds(clock::now() - begin).count() / wave_size;
        const auto started = wave_size - std::min<std::size_t>(waiting_.size(), wave_size);
        const auto middle = clock::now();
        for (const auto& [id, job] : waiting_) {
            planner_.job_dropped(id);
        }
        for (std::size_t number = 0; number < started; ++number) {
            running_.push_front(std::move(running_.back()));
            running_.pop_back();
            end_oldest();
        }
        planner_.decide(now_);
        cancelled_us_ = microseconds(clock::now() - middle).count() / wave_size;
        waiting_.clear();
    }

    double submitted_us_ = 0;
    double cancelled_us_ = 0;
    std::mt19937_64 random_;
    fleet workers_;
    directory tickets_;
    guarantee_planner planner_;
    std::unordered_map<job_id, planned_job> waiting_;
    std::deque<running_gang> running_;
    std::vector<double> took_us_;
    std::size_t tasks_ = 0;
    std::uint64_t next_ = 0;
    time_point now_{};
};

void print(std::uint32_t workers, const timings& one) {
    std::cout << "{\"workers\": " << workers << ", \"tasks\": " << one.running
              << ", \"decision_p50_us\": " << one.p50_us << ", \"decision_p99_us\": " << one.p99_us
              << ", \"events_per_second\": " << one.events_per_second
              << ", \"resident_kib\": " << one.resident_kib
              << ", \"wave_submission_us\": " << one.submitted_us
              << ", \"wave_cancellation_us\": " << one.cancelled_us << "}";
}

}  // namespace

CLI::App* placement_experiment::add_to(CLI::App& app) {
    auto* command = app.add_subcommand("placement", "Measures the cost of placement decisions");
    command->add_option("--workers", workers_, "size of the fleet");
    command->add_option("--events", events_, "events to time at each size");
    return command;
}

int placement_experiment::run() {
    std::cout << "{\"slope\": [";
    for (const std::uint32_t size : {500U, 1000U, 2000U, 4000U, 8000U, 16000U}) {
        print(size, load_run(size, events_).result());
        std::cout << (size == 16000U ? "" : ", ");
    }
    std::cout << "], \"at\": ";
    print(workers_, load_run(workers_, events_).result());
    std::cout << "}\n";
    return 0;
}

}  // namespace baobabrack::bench
