#include "workload_simulation.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/preemption.hpp"

namespace baobabrack::bench {

namespace {

using namespace std::chrono_literals;
using workload::run_number;
using workload::run_outcome;
using workload::task_name;

// Times of the loopback and the store, as they were measured on the users' platform.
constexpr duration report_delay = 9ms;
constexpr duration append_delay = 14ms;
constexpr duration order_delay = 9ms;
constexpr duration tick_interval = 100ms;
constexpr duration beat_interval = 500ms;
// Checkpoints alone are stored this often.
constexpr duration proof_interval = 700ms;
// The workers are there before the first job.
constexpr duration lead = 1s;
constexpr double failing_time_s = 0.04;
constexpr double never = 1e9;

duration seconds(double span) {
    constexpr double million = 1e6;
    return duration{static_cast<duration::rep>(span * million)};
}

std::string to_checkpoint(double done_s) {
    char text[24];
    std::snprintf(text, sizeof text, "%012.6f", done_s);
    return text;
}

double from_checkpoint(const std::string& text) {
    return text.empty() ? 0 : std::stod(text);
}

double seconds_since(std::chrono::steady_clock::time_point began) {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}

workload::scheduler::options options_for(const workload_deployment& deployment) {
    return {.remote_penalty = deployment.remote_penalty};
}

}  // namespace

workload_simulation::workload_simulation(const workload_trace& trace, std::uint64_t seed)
    : trace_(trace), core_(options_for(trace.deployment)), random_(seed * 2 + 1) {
    result_.completed.resize(trace.jobs.size());
    for (std::size_t at = 0; at < trace.jobs.size(); ++at) {
        job_numbers_[trace.jobs[at].spec.id] = at;
    }
    const auto accelerators = trace.deployment.hosts * trace.deployment.per_host.accelerators.get();
    for (int workspace = 0; workspace < 4; ++workspace) {
        // Three fifths of everything is guaranteed to someone.
        directory_.workspaces.push_back(
            {.id = workspace_id{"workspace-" + std::to_string(workspace)},
             .keys = {},
             .guaranteed = accelerator_count{accelerators * 3 / 20}});
    }
    add_hosts();
}

double workload_simulation::uniform() {
    random_ ^= random_ << 13U;
    random_ ^= random_ >> 7U;
    random_ ^= random_ << 17U;
    constexpr double range = 1ULL << 53U;
    return static_cast<double>(random_ >> 11U) / range;
}

void workload_simulation::at(time_point when, std::function<void()> action) {
    events_.push({.at = when, .order = ++events_made_, .action = std::move(action)});
}

void workload_simulation::add_hosts() {
    const auto& deployment = trace_.deployment;
    for (std::uint32_t number = 0; number < deployment.hosts; ++number) {
        host_state host;
        const auto name = "host-" + std::to_string(number);
        host.facts.instance = {.host = workload::host_id{name},
                               .worker = worker_id{"worker-" + std::to_string(number)},
                               .version = incarnation{1}};
        host.facts.service = service_id{"service"};
        host.facts.rack = rack_id{"rack-" + std::to_string(number / deployment.hosts_per_rack)};
        host.facts.capacity = deployment.per_host;
        host_numbers_[name] = number;
        hosts_.push_back(std::move(host));
    }
}

workload_result workload_simulation::run() {
    core_.load({}, now_, now_);
    for (const auto& trouble : trace_.troubles) {
        at(trouble.from, [this, &trouble] { begin_trouble(trouble); });
        at(trouble.until, [this, &trouble] { end_trouble(trouble); });
    }
    for (const auto& job : trace_.jobs) {
        at(job.submitted + lead, [this, &job] {
            core_.add_job({.spec = job.spec, .progress = {}, .cancelled = false}, now_);
            decide();
        });
        if (job.cancelled) {
            at(*job.cancelled + lead, [this, &job] {
                core_.cancel_job(job.spec.id);
                decide();
            });
        }
    }
    beat();
    tick();
    const auto until = trace_.end + lead + after_time;
    while (!events_.empty() && events_.top().at <= until) {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    for (auto& completed : result_.completed) {
        if (completed) {
            *completed -= lead;
        }
    }
    result_.preempted = core_.counts().preempted;
    return result_;
}

void workload_simulation::begin_trouble(const workload_trouble& trouble) {
    using kind = workload_trouble::kind;
    auto& host = hosts_[trouble.host];
    switch (trouble.what) {
        case kind::slow:
            host.slow_factor = trouble.factor;
            break;
        case kind::failing:
            host.fails_all = true;
            break;
        case kind::standing_still:
            host.stands_still = true;
            break;
        case kind::crashed: {
            const auto runs = host.runs;
            for (const auto& [task, run] : runs) {
                end(trouble.host, task, run_outcome::lease_lapsed);
            }
            host.ends.clear();
            host.ends_made = 0;
            host.down = true;
            break;
        }
    }
    settle_host(trouble.host);
}

void workload_simulation::end_trouble(const workload_trouble& trouble) {
    auto& host = hosts_[trouble.host];
    host.slow_factor = 1;
    host.fails_all = false;
    host.stands_still = false;
    if (host.down) {
        host.down = false;
        host.facts.instance.version = incarnation{host.facts.instance.version.get() + 1};
        report_soon(trouble.host);
    }
    settle_host(trouble.host);
}

void workload_simulation::tick() {
    after(tick_interval, [this] { tick(); });
    decide();
}

void workload_simulation::beat() {
    after(beat_interval, [this] { beat(); });
    for (std::uint32_t host = 0; host < hosts_.size(); ++host) {
        report_soon(host);
    }
}

void workload_simulation::report_soon(std::uint32_t host) {
    if (hosts_[host].report_due || hosts_[host].down) {
        return;
    }
    hosts_[host].report_due = true;
    after(report_delay, [this, host] { report(host); });
}

void workload_simulation::report(std::uint32_t host) {
    hosts_[host].report_due = false;
    if (hosts_[host].down) {
        return;
    }
    const auto began = std::chrono::steady_clock::now();
    core_.handle_report(report_of(hosts_[host]), now_);
    result_.decision_s += seconds_since(began);
    decide();
}

workload::worker_report workload_simulation::report_of(host_state& host) {
    workload::worker_report report;
    report.facts = host.facts;
    report.lists_known = true;
    for (auto& [task, run] : host.runs) {
        advance(run);
        constexpr double whole = 100;
        const auto percent = static_cast<std::uint32_t>(run.done_s / run.work_s * whole);
        report.runs.push_back({.task = task,
                               .run = run.run,
                               .checkpoint = run.saved_s > 0 ? to_checkpoint(run.saved_s) : "",
                               .percent = std::min(percent, 99U)});
    }
    report.ends = host.ends;
    return report;
}

void workload_simulation::decide() {
    if (decide_due_) {
        return;
    }
    decide_due_ = true;
    after(0ms, [this] {
        decide_due_ = false;
        const auto began = std::chrono::steady_clock::now();
        core_.decide(&directory_, now_,
                     wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(
                         (now_ - lead).time_since_epoch())});
        take_notes();
        if (!storing_) {
            const bool proof_due = now_ - stored_at_ >= proof_interval;
            auto batch = core_.drain_batch(proof_due);
            if (!batch.changes.empty() || !batch.applied_ends.empty() || proof_due) {
                storing_ = true;
                after(append_delay, [this, batch = std::move(batch)] {
                    storing_ = false;
                    stored_at_ = now_;
                    core_.mark_stored(batch);
                    decide();
                });
            }
        }
        for (const auto& name : core_.drain_changed_hosts()) {
            const auto number = host_numbers_.at(name.get());
            if (!hosts_[number].down) {
                auto orders = core_.orders_for(report_of(hosts_[number]));
                after(order_delay,
                      [this, number, orders = std::move(orders)] { carry_out(number, orders); });
            }
        }
        const auto took = seconds_since(began);
        constexpr double ms = 1000;
        result_.decision_s += took;
        result_.longest_decision_ms = std::max(result_.longest_decision_ms, took * ms);
    });
}

void workload_simulation::take_notes() {
    for (const auto& note : core_.drain_decision_events()) {
        if (note.event == "job-completed") {
            result_.completed[job_numbers_.at(note.task.step.job)] = now_;
        }
        if (note.event == "run-stopping" &&
            (note.detail == "the worker is slow" || note.detail.starts_with("no progress"))) {
            ++result_.fault_stops;
            result_.wrong_stops += has_trouble(note.task) ? 0 : 1;
        }
    }
}

// Returns whether something is wrong with the worker of a run or of another member of its gang.
bool workload_simulation::has_trouble(const task_name& task) const {
    const auto members = members_of(task);
    return std::any_of(members.begin(), members.end(), [this](const task_name& member) {
        const auto place = places_.find(member);
        if (place == places_.end()) {
            return true;
        }
        const auto& host = hosts_[place->second];
        return host.stands_still || host.fails_all || host.slow_factor > 1;
    });
}

void workload_simulation::carry_out(std::uint32_t host, const workload::worker_orders& orders) {
    auto& state = hosts_[host];
    if (state.down || orders.worker != state.facts.instance) {
        return;
    }
    std::erase_if(state.ends, [&](const workload::ended_run& one) {
        return one.sequence <= orders.ends_stored;
    });
    for (const auto& one : orders.stops) {
        stop(host, one.task, one.run);
    }
    for (const auto& one : orders.starts) {
        begin(host, one);
    }
}

void workload_simulation::begin(std::uint32_t host, const workload::start_order& wanted) {
    auto& state = hosts_[host];
    const auto ended = std::any_of(state.ends.begin(), state.ends.end(), [&](const auto& one) {
        return one.task == wanted.task && one.run == wanted.run;
    });
    if (ended || state.runs.contains(wanted.task)) {
        return;
    }
    ++result_.runs;
    const auto& job = trace_.jobs[job_numbers_.at(wanted.task.step.job)];
    live_run run{.task = wanted.task, .run = wanted.run, .needs = wanted.needs, .job = &job};
    run.work_s = job.run_s[wanted.task.step.step][wanted.task.index];
    run.done_s = run.saved_s = from_checkpoint(wanted.checkpoint);
    run.updated = run.began = now_;
    const auto& kind = trace_.deployment.kinds[job.kind];
    run.fails_at_s = uniform() < kind.failing_share ? run.work_s * uniform() : never;
    if (state.fails_all) {
        run.fails_at_s = run.done_s + failing_time_s;
    }
    resources used = wanted.needs;
    for (const auto& [task, other] : state.runs) {
        used.add(other.needs);
    }
    result_.overfull += state.facts.capacity.can_fit(used) ? 0 : 1;
    state.runs.emplace(wanted.task, run);
    places_[wanted.task] = host;
    report_soon(host);
    for (const auto& member : members_of(wanted.task)) {
        settle(member);
    }
}

void workload_simulation::stop(std::uint32_t host, const task_name& task, run_number run) {
    auto& state = hosts_[host];
    const auto found = state.runs.find(task);
    if (found == state.runs.end() || found->second.run != run || found->second.stopping) {
        return;
    }
    found->second.stopping = true;
    after(seconds(trace_.deployment.stop_s * 0.7), [this, host, task, run] {
        const auto still = hosts_[host].runs.find(task);
        if (still != hosts_[host].runs.end() && still->second.run == run) {
            end(host, task, run_outcome::stopped);
        }
    });
}

void workload_simulation::end(std::uint32_t host, const task_name& task, run_outcome how) {
    auto& state = hosts_[host];
    const auto found = state.runs.find(task);
    if (found == state.runs.end()) {
        // It went with its gang.
        return;
    }
    auto run = found->second;
    advance(run);
    state.runs.erase(found);
    places_.erase(task);
    const auto& step = run.job->spec.steps[task.step.step];
    if (how == run_outcome::stopped && step.checkpoints) {
        run.saved_s = run.done_s;
    }
    if (how != run_outcome::done) {
        const auto lost = step.checkpoints ? run.done_s - run.saved_s : run.done_s;
        result_.wasted += std::max(lost, 0.0) * workload::work_per_second(run.needs);
    }
    state.ends.push_back(
        {.sequence = ++state.ends_made,
         .task = task,
         .run = run.run,
         .outcome = how,
         .checkpoint = step.checkpoints && run.saved_s > 0 ? to_checkpoint(run.saved_s) : ""});
    report_soon(host);
    for (const auto& member : members_of(task)) {
        const auto place = places_.find(member);
        if (place == places_.end() || member == task) {
            continue;
        }
        const auto other = hosts_[place->second].runs.find(member);
        if (other != hosts_[place->second].runs.end() && other->second.run == run.run) {
            end(place->second, member, how == run_outcome::done ? how : run_outcome::gang_broken);
        }
    }
}

void workload_simulation::advance(live_run& run) const {
    run.done_s += to_seconds(now_ - run.updated) * run.rate;
    run.updated = now_;
    const auto interval = trace_.deployment.checkpoint_interval_s;
    if (run.job->spec.steps[run.task.step.step].checkpoints) {
        const auto saved = static_cast<double>(static_cast<int>(run.done_s / interval)) * interval;
        run.saved_s = std::max(run.saved_s, saved);
    }
}

void workload_simulation::settle_host(std::uint32_t host) {
    std::vector<task_name> names;
    for (const auto& [task, run] : hosts_[host].runs) {
        names.push_back(task);
    }
    for (const auto& name : names) {
        for (const auto& member : members_of(name)) {
            settle(member);
        }
    }
}

workload_simulation::live_run* workload_simulation::find_run(const task_name& task) {
    const auto place = places_.find(task);
    if (place == places_.end()) {
        return nullptr;
    }
    const auto found = hosts_[place->second].runs.find(task);
    return found == hosts_[place->second].runs.end() ? nullptr : &found->second;
}

std::vector<task_name> workload_simulation::members_of(const task_name& task) const {
    const auto& job = trace_.jobs[job_numbers_.at(task.step.job)];
    const auto& step = job.spec.steps[task.step.step];
    if (!step.gang) {
        return {task};
    }
    std::vector<task_name> members;
    for (std::uint32_t index = 0; index < step.tasks; ++index) {
        members.push_back({.step = task.step, .index = index});
    }
    return members;
}

// Works out when a run ends, now that its rate may have changed.
void workload_simulation::settle(const task_name& task) {
    auto* run = find_run(task);
    if (run == nullptr) {
        return;
    }
    advance(*run);
    run->rate = rate_of(task, *run);
    const auto version = ++run->version;
    if (run->rate <= 0) {
        return;
    }
    const auto host = places_.at(task);
    const bool fails = run->fails_at_s < run->work_s;
    const auto left = (fails ? run->fails_at_s : run->work_s) - run->done_s;
    after(seconds(std::max(left, 0.0) / run->rate),
          [this, host, task, number = run->run, version, fails] {
              const auto found = hosts_[host].runs.find(task);
              if (found != hosts_[host].runs.end() && found->second.run == number &&
                  found->second.version == version) {
                  end(host, task, fails ? run_outcome::failed : run_outcome::done);
              }
          });
}

double workload_simulation::rate_of(const task_name& task, const live_run& run) const {
    const auto& step = run.job->spec.steps[task.step.step];
    double rate = 1;
    rack_id rack;
    bool spread = false;
    for (const auto& member : members_of(task)) {
        const auto place = places_.find(member);
        if (place == places_.end()) {
            return 0;
        }
        const auto& host = hosts_[place->second];
        const auto other = host.runs.find(member);
        if (other == host.runs.end() || other->second.run != run.run) {
            return 0;
        }
        rate = std::min(rate, host.stands_still ? 0 : 1 / host.slow_factor);
        spread = spread || (!rack.get().empty() && rack != host.facts.rack);
        rack = host.facts.rack;
        if (!step.data_rack.get().empty() && step.data_rack != host.facts.rack) {
            rate = std::min(rate, 1 / trace_.deployment.remote_penalty / host.slow_factor);
        }
    }
    return spread && step.rack_local ? rate / trace_.deployment.remote_penalty : rate;
}

}  // namespace baobabrack::bench
