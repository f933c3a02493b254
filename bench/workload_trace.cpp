#include "workload_trace.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

#include "baobabrack/workload/preemption.hpp"

namespace baobabrack::bench {

namespace {

using namespace std::chrono_literals;

constexpr duration day_length = 34s;
constexpr double fixed_worth = 0.3;
constexpr double work_worth = 0.7;
constexpr double most_worth = 4;
constexpr double late_factor = 3;

duration seconds(double span) {
    constexpr double million = 1e6;
    return duration{static_cast<duration::rep>(span * million)};
}

class trace_maker {
public:
    trace_maker(const workload_deployment& deployment, const workload_day& day, std::uint64_t seed)
        : day_(day), random_(seed) {
        made_.deployment = deployment;
        made_.end = time_point{} + day_length;
    }

    workload_trace make() {
        for (std::size_t kind = 0; kind < made_.deployment.kinds.size(); ++kind) {
            add_jobs(kind);
        }
        std::sort(made_.jobs.begin(), made_.jobs.end(),
                  [](const workload_job& left, const workload_job& right) {
                      return left.submitted < right.submitted;
                  });
        for (std::size_t at = 0; at < made_.jobs.size(); ++at) {
            made_.jobs[at].spec.id = job_id{"job-" + std::to_string(at + 1)};
        }
        set_worth();
        add_troubles();
        return std::move(made_);
    }

private:
    double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

    double normal() { return std::normal_distribution<>(0, 1)(random_); }

    double draw(const spread_amount& amount) {
        // The mean is that of the amounts, not of their logarithms.
        const auto shift = amount.spread * amount.spread / 2;
        return std::min(amount.mean * std::exp(amount.spread * normal() - shift),
                        std::max(amount.most, amount.mean));
    }

    time_point any_time() { return time_point{} + seconds(uniform() * to_length()); }

    static double to_length() { return std::chrono::duration<double>(day_length).count(); }

    void add_jobs(std::size_t kind) {
        const auto& rules = made_.deployment.kinds[kind];
        for (std::uint32_t at = 0; at < rules.waiting_at_start; ++at) {
            add_job(kind, time_point{});
        }
        // A burst of this kind, and of urgent work always.
        constexpr double burst_length = 5;
        const bool bursts = rules.priority == 0 || uniform() < 0.5;
        const auto burst_from = 2 + uniform() * 8;
        double at = 0;
        while (true) {
            const bool in_burst = bursts && at >= burst_from && at < burst_from + burst_length;
            const auto rate = rules.per_second * day_.load * (in_burst ? day_.burst : 1);
            at += -std::log(1 - uniform()) / rate;
            if (at >= to_length()) {
                return;
            }
            add_job(kind, time_point{} + seconds(at));
        }
    }

    void add_job(std::size_t kind, time_point submitted) {
        const auto& rules = made_.deployment.kinds[kind];
        workload_job job{.spec = {}, .kind = kind, .submitted = submitted};
        auto& spec = job.spec;
        spec.service = service_id{"service"};
        spec.queue = workload::queue_id{rules.name};
        spec.workspace = workspace_id{"workspace-" + std::to_string(random_() % 4)};
        spec.priority = rules.priority;
        spec.most_attempts = rules.most_attempts;
        spec.slack_factor = rules.slack_factor;
        spec.target_completion = std::chrono::duration_cast<std::chrono::milliseconds>(
            seconds(rules.target_completion_s));
        spec.submitted = wall_time{
            std::chrono::duration_cast<std::chrono::milliseconds>(submitted.time_since_epoch())};
        const auto steps = std::max(1, static_cast<int>(std::lround(draw(rules.steps))));
        for (int step = 0; step < steps; ++step) {
            add_step(job, rules);
        }
        if (uniform() < rules.cancel_share) {
            job.cancelled = submitted + seconds(1 + 4 * uniform());
        }
        made_.jobs.push_back(std::move(job));
    }

    void add_step(workload_job& job, const workload_kind& rules) {
        workload::step_spec step;
        step.tasks = static_cast<std::uint32_t>(std::max(1.0, std::round(draw(rules.width))));
        step.per_task = rules.per_task;
        step.per_task.accelerators =
            accelerator_count{rules.accelerators[random_() % rules.accelerators.size()]};
        make_gang(step, rules);
        step.checkpoints = uniform() < rules.checkpoint_share;
        if (uniform() < rules.apart_share) {
            step.most_per_worker = std::max(1U, step.tasks / 4);
        }
        if (uniform() < rules.data_rack_share) {
            const auto racks = made_.deployment.hosts / made_.deployment.hosts_per_rack;
            step.data_rack = rack_id{"rack-" + std::to_string(random_() % racks)};
        }
        if (!job.spec.steps.empty()) {
            step.after.push_back(static_cast<std::uint32_t>(job.spec.steps.size()) - 1);
        }
        auto run_s = draw(rules.run_s);
        const auto estimate = declare(run_s, job.submitted, rules);
        step.estimated = seconds(std::max(estimate, 0.05));
        std::vector<double> times;
        for (std::uint32_t task = 0; task < step.tasks; ++task) {
            const auto own = step.gang ? 1 : std::exp(rules.uneven * normal());
            times.push_back(run_s * own);
            job.work += run_s * own * workload::work_per_second(step.per_task);
        }
        job.run_s.push_back(std::move(times));
        job.spec.steps.push_back(std::move(step));
    }

    // Returns the declared time of a step, and changes its true time where the day's rule says so.
    double declare(double& run_s, time_point submitted, const workload_kind& rules) {
        constexpr double most_off = 1.9;
        constexpr double long_share = 0.03;
        constexpr double long_factor = 7;
        const auto day_share =
            std::chrono::duration<double>(submitted.time_since_epoch()).count() / to_length();
        if (day_.declared == declared_times::by_kind) {
            return run_s * std::exp(rules.estimate_error * normal());
        }
        if (day_.declared == declared_times::right) {
            return run_s;
        }
        if (day_.declared == declared_times::wrong) {
            return run_s * std::exp(normal());
        }
        if (day_.declared == declared_times::mixed) {
            constexpr double short_factor = 0.25;
            constexpr double longer_factor = 2;
            const bool longer = day_share > 1.0 / 3 && uniform() < 1.0 / 4;
            run_s *= longer ? longer_factor : short_factor;
        }
        const auto declared = run_s * std::pow(most_off, 2 * uniform() - 1);
        if (day_.declared == declared_times::drifting) {
            constexpr double first_factor = 0.5;
            constexpr double growth = 8;
            run_s *= first_factor * std::pow(growth, day_share);
        }
        run_s *= uniform() < long_share ? long_factor : 1;
        return declared;
    }

    // Gangs take a sixth of the accelerators at most, and stay in one rack only where they take
    // half of it at most.
    void make_gang(workload::step_spec& step, const workload_kind& rules) {
        constexpr std::uint32_t gang_part = 6;
        constexpr std::uint32_t rack_part = 2;
        const auto& deployment = made_.deployment;
        const auto all = deployment.hosts * deployment.per_host.accelerators.get();
        const auto widest = all / gang_part / step.per_task.accelerators.get();
        step.gang = rules.gangs && step.tasks > 1 && widest > 1;
        if (!step.gang) {
            return;
        }
        step.tasks = std::min(step.tasks, widest);
        const auto in_rack =
            deployment.per_host.fit_count(step.per_task) * deployment.hosts_per_rack;
        step.rack_local = step.tasks * rack_part <= in_rack && uniform() < rules.rack_local_share;
    }

    void set_worth() {
        for (std::size_t kind = 0; kind < made_.deployment.kinds.size(); ++kind) {
            const auto& rules = made_.deployment.kinds[kind];
            double work = 0;
            double count = 0;
            for (const auto& job : made_.jobs) {
                work += job.kind == kind ? job.work : 0;
                count += job.kind == kind ? 1 : 0;
            }
            for (auto& job : made_.jobs) {
                if (job.kind == kind) {
                    set_worth(job, rules, work / std::max(count, 1.0));
                }
            }
        }
    }

    void set_worth(workload_job& job, const workload_kind& rules, double mean_work) const {
        const auto size = std::min(fixed_worth + work_worth * job.work / mean_work, most_worth);
        job.worth = rules.worth * size;
        job.late_worth = rules.late_worth * size;
        double chain = 0;
        for (std::size_t step = 0; step < job.run_s.size(); ++step) {
            chain += *std::max_element(job.run_s[step].begin(), job.run_s[step].end()) *
                     waves_of(job.spec.steps[step]);
        }
        const auto span = rules.slack_factor * chain + rules.target_completion_s;
        job.objective = job.submitted + seconds(span);
        job.give_up = job.submitted + seconds(late_factor * span);
    }

    // A step that is wider than a quarter of the room counts in waves.
    double waves_of(const workload::step_spec& step) const {
        const auto& deployment = made_.deployment;
        const auto room = deployment.per_host.fit_count(step.per_task) * deployment.hosts;
        constexpr double share = 0.25;
        return std::max(1.0, std::ceil(step.tasks / std::max(1.0, room * share)));
    }

    void add_troubles() {
        // Each one comes on half of the days, on all of them if it is the only one.
        const auto share = day_.troubles.size() > 1 ? 0.5 : 1;
        for (const auto what : day_.troubles) {
            if (uniform() > share) {
                continue;
            }
            const auto from = time_point{} + seconds(uniform() * to_length() * 0.8);
            const auto until = from + seconds(4 + 4 * uniform());
            const auto hosts = std::max(1U, made_.deployment.hosts / 9);
            for (std::uint32_t at = 0; at < hosts; ++at) {
                made_.troubles.push_back(
                    {.what = what,
                     .host = static_cast<std::uint32_t>(random_() % made_.deployment.hosts),
                     .from = from,
                     .until = until,
                     .factor = 4 + 3 * uniform()});
            }
        }
    }

    workload_trace made_;
    workload_day day_;
    std::mt19937_64 random_;
};

}  // namespace

std::optional<workload_trouble::kind> find_workload_trouble(std::string_view name) {
    using kind = workload_trouble::kind;
    constexpr std::array<std::pair<std::string_view, kind>, 4> names{
        {{"slow", kind::slow},
         {"crashed", kind::crashed},
         {"failing", kind::failing},
         {"standing_still", kind::standing_still}}};
    for (const auto& [known, what] : names) {
        if (known == name) {
            return what;
        }
    }
    return std::nullopt;
}

std::optional<declared_times> find_declared_times(std::string_view name) {
    constexpr std::array<std::pair<std::string_view, declared_times>, 6> names{
        {{"by_kind", declared_times::by_kind},
         {"right", declared_times::right},
         {"production", declared_times::production},
         {"wrong", declared_times::wrong},
         {"mixed", declared_times::mixed},
         {"drifting", declared_times::drifting}}};
    for (const auto& [known, what] : names) {
        if (known == name) {
            return what;
        }
    }
    return std::nullopt;
}

workload_trace make_workload_trace(const workload_deployment& deployment, const workload_day& day,
                                   std::uint64_t seed) {
    return trace_maker(deployment, day, seed).make();
}

}  // namespace baobabrack::bench
