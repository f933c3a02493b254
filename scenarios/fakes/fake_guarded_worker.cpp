#include "fakes/fake_guarded_worker.hpp"

#include <algorithm>
#include <numeric>

namespace baobabrack::fakes {

namespace {

using namespace std::chrono_literals;
using workload::call_outcome;
using workload::run_outcome;

constexpr duration call_delay = 1ms;
constexpr duration poll_interval = 10ms;
constexpr duration lease_check_interval = 20ms;
constexpr std::uint64_t max_late_ms = 6000;
constexpr std::uint32_t full_percent = 100;
constexpr double chance_scale = 1e6;
// The clocks of two instances start far apart.
constexpr std::uint64_t max_clock_start_ms = 10'000'000;
constexpr std::uint64_t clock_start_step = 3'333'331;

}  // namespace

fake_guarded_worker::fake_guarded_worker(options opts, runtime& loop, run_listener& listener)
    : options_(std::move(opts)),
      loop_(loop),
      listener_(listener),
      instance_started_at_(loop.now()) {
    check_lease();
}

workload::worker_time fake_guarded_worker::clock() const {
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - instance_started_at_);
    // Starts anywhere, and runs 2 % slow, since a worker's clock may drift from the guard's.
    const auto& host = options_.host.get();
    const auto host_number = std::accumulate(host.begin(), host.end(), std::uint64_t{0});
    const auto start = (host_number + version_) * clock_start_step % max_clock_start_ms;
    return workload::worker_time{static_cast<std::int64_t>(start) + age.count() * 49 / 50};
}

wall_time fake_guarded_worker::began() const {
    return loop_.wall_now() - std::chrono::duration_cast<std::chrono::milliseconds>(
                                  loop_.now() - instance_started_at_);
}

workload::worker_facts fake_guarded_worker::facts() const {
    return {.instance = {.host = options_.host,
                         .worker = worker_id{"w-" + options_.host.get()},
                         .version = incarnation{version_}},
            .service = service_id{"service"},
            .data_centre = options_.data_centre,
            .rack = options_.rack,
            .labels = {workload::label{"a"}, workload::label{options_.rack.get()}},
            .capacity = options_.capacity,
            .draining = draining};
}

void fake_guarded_worker::crash(duration restart_time) {
    for (const auto& [key, run] : runs_) {
        listener_.run_ended(key.first, key.second, std::nullopt);
    }
    runs_.clear();
    highest_ended_.clear();
    ends_.clear();
    last_end_sequence_ = 0;
    last_end_before_lapse_ = 0;
    highest_token_ = {};
    lease_ms_ = 0;
    instance_started_at_ = loop_.now();
    down_until_ = loop_.now() + restart_time;
    ++version_;
}

void fake_guarded_worker::set_capacity(const resources& capacity) {
    earlier_capacities_.emplace_back(loop_.now(), options_.capacity);
    options_.capacity = capacity;
}

// A capacity that has shrunk counts once there was time to announce it.
bool fake_guarded_worker::is_over_capacity() const {
    auto capacity = options_.capacity;
    for (const auto& [until, earlier] : earlier_capacities_) {
        if (until + options_.capacity_notice > loop_.now()) {
            capacity.cpu = std::max(capacity.cpu, earlier.cpu);
            capacity.memory = std::max(capacity.memory, earlier.memory);
            capacity.accelerators = std::max(capacity.accelerators, earlier.accelerators);
        }
    }
    resources used;
    for (const auto& [key, run] : runs_) {
        used.add(run.needs);
    }
    return !capacity.can_fit(used);
}

void fake_guarded_worker::crash_if_task_does(const run_key& key) {
    const auto delay = options_.crash_delay ? options_.crash_delay(key.first) : std::nullopt;
    if (!delay) {
        return;
    }
    if (*delay == duration::zero()) {
        crash(options_.restart_time);
        return;
    }
    loop_.schedule(*delay, [this, key, version = version_] {
        if (version == version_ && runs_.contains(key)) {
            crash(options_.restart_time);
        }
    });
}

bool fake_guarded_worker::fenced(workload::fencing_token token) {
    if (token < highest_token_) {
        return true;
    }
    highest_token_ = token;
    return false;
}

void fake_guarded_worker::extend_lease(const std::optional<workload::worker_time>& lease) {
    if (lease) {
        const auto longest =
            clock().get() +
            std::chrono::duration_cast<std::chrono::milliseconds>(options_.max_lease).count();
        lease_ms_ = std::max(lease_ms_, std::min(lease->get(), longest));
    }
}

void fake_guarded_worker::check_lease() {
    loop_.schedule(lease_check_interval, [this] { check_lease(); });
    if (clock().get() < lease_ms_) {
        return;
    }
    last_end_before_lapse_ = last_end_sequence_;
    const auto current_runs = runs_;
    for (const auto& [key, run] : current_runs) {
        end_run(key, run_outcome::lease_lapsed, version_);
    }
}

void fake_guarded_worker::end_run(const run_key& key, run_outcome outcome, std::uint64_t version) {
    const auto found = runs_.find(key);
    if (version != version_ || found == runs_.end()) {
        return;
    }
    if (outcome == run_outcome::done && active_faults.stalled) {
        return;
    }
    runs_.erase(found);
    highest_ended_[key.first] = std::max(highest_ended_[key.first], key.second);
    ends_.push_back({.sequence = ++last_end_sequence_,
                     .task = key.first,
                     .run = key.second,
                     .outcome = outcome,
                     .checkpoint = ""});
    listener_.run_ended(key.first, key.second, outcome);
}

duration fake_guarded_worker::run_time(const workload::task_name& task) const {
    const auto own = options_.run_time_of ? options_.run_time_of(task) : std::nullopt;
    return std::chrono::duration_cast<duration>(own.value_or(options_.run_time) *
                                                active_faults.slowdown);
}

std::uint32_t fake_guarded_worker::percent(const active_run& run) const {
    if (active_faults.stalled) {
        return 0;
    }
    const auto progress = std::chrono::duration<double>(loop_.now() - run.started_at) /
                          std::chrono::duration<double>(run.run_time);
    return static_cast<std::uint32_t>(std::min(progress, 1.0) * full_percent);
}

workload::renew_reply fake_guarded_worker::renew(const workload::worker_port::renew_call& call) {
    if (call.worker.worker != facts().instance.worker) {
        return {.reply = reply(call_outcome::other_worker)};
    }
    if (fenced(call.token)) {
        return {.reply = reply(call_outcome::fenced)};
    }
    extend_lease(call.lease_until);
    for (const auto& end : ends_) {
        if (end.sequence <= call.acknowledged_ends) {
            listener_.end_acknowledged(end, end.sequence <= last_end_before_lapse_);
        }
    }
    std::erase_if(ends_, [&](const auto& end) { return end.sequence <= call.acknowledged_ends; });
    if (call.worker != facts().instance) {
        // The caller sees in the reply that the lists are those of another incarnation.
        return {.reply = reply(call_outcome::other_worker)};
    }
    workload::renew_reply answer{.reply = reply(call_outcome::accepted), .lists = {}};
    const auto listed = std::min(ends_.size(), options_.max_listed_ends);
    answer.lists.ends.assign(ends_.begin(), ends_.begin() + static_cast<std::ptrdiff_t>(listed));
    answer.lists.incomplete = listed == options_.max_listed_ends;
    for (const auto& [key, run] : runs_) {
        answer.lists.runs.push_back(
            {.task = key.first, .run = key.second, .percent = percent(run)});
    }
    return answer;
}

workload::call_reply fake_guarded_worker::start(const workload::worker_port::start_call& call) {
    const run_key key{call.run.task, call.run.run};
    if (call.worker.worker != facts().instance.worker) {
        return reply(call_outcome::other_worker);
    }
    if (fenced(call.token)) {
        return reply(call_outcome::fenced);
    }
    if (runs_.contains(key)) {
        return reply(call_outcome::accepted);
    }
    extend_lease(call.lease_until);
    const auto ended = highest_ended_.find(key.first);
    if (ended != highest_ended_.end() && key.second <= ended->second) {
        return reply(call_outcome::outdated);
    }
    if (lease_ms_ <= clock().get()) {
        return reply(call_outcome::late);
    }
    const auto time = run_time(call.run.task);
    runs_[key] = {.needs = call.run.needs, .run_time = time, .started_at = loop_.now()};
    listener_.run_started(key.first, key.second, facts().instance);
    if (is_over_capacity()) {
        listener_.over_capacity(facts().instance);
    }
    const auto outcome = active_faults.fail_all_runs ? run_outcome::failed : run_outcome::done;
    loop_.schedule(time,
                   [this, key, outcome, version = version_] { end_run(key, outcome, version); });
    crash_if_task_does(key);
    return reply(call_outcome::accepted);
}

workload::call_reply fake_guarded_worker::stop(const workload::worker_port::stop_call& call) {
    const run_key key{call.run.task, call.run.run};
    if (call.worker.worker != facts().instance.worker) {
        return reply(call_outcome::other_worker);
    }
    if (fenced(call.token)) {
        return reply(call_outcome::fenced);
    }
    highest_ended_[key.first] = std::max(highest_ended_[key.first], key.second);
    const auto found = runs_.find(key);
    if (found != runs_.end() && !found->second.stopping) {
        found->second.stopping = true;
        loop_.schedule(options_.stop_time, [this, key, version = version_] {
            end_run(key, run_outcome::stopped, version);
        });
    }
    return reply(call_outcome::accepted);
}

void fake_worker_link::schedule_if_alive(duration delay_time, std::function<void()> action) {
    worker_.loop().schedule(delay_time,
                            [alive = std::weak_ptr<bool>(alive_), action = std::move(action)] {
                                if (!alive.expired()) {
                                    action();
                                }
                            });
}

bool fake_worker_link::leave_unanswered(duration timeout, const std::function<void()>& unanswered,
                                        std::function<void()> late_effect) {
    auto& loop = worker_.loop();
    const auto chance =
        static_cast<double>(loop.random() % std::uint64_t{1'000'000}) / chance_scale;
    const bool silent = worker_.active_faults.silent || worker_.is_down();
    if (!silent && chance >= worker_.active_faults.late_calls) {
        return false;
    }
    schedule_if_alive(timeout, unanswered);
    if (!silent) {
        // The worker carries out the call even if the guard no longer exists.
        loop.schedule(std::chrono::milliseconds{loop.random() % max_late_ms},
                      std::move(late_effect));
    }
    return true;
}

void fake_worker_link::renew(const renew_call& call,
                             std::function<void(workload::renew_reply)> done) {
    const auto unanswered = [done] { done({.reply = {.outcome = call_outcome::unanswered}}); };
    const bool lost = leave_unanswered(call.timeout, unanswered,
                                       [&worker = worker_, call] { worker.renew(call); });
    if (!lost) {
        wait_for_end(call, worker_.loop().now() + call.wait, worker_.version(), done);
    }
}

void fake_worker_link::wait_for_end(const renew_call& call, time_point until, std::uint64_t version,
                                    const std::function<void(workload::renew_reply)>& done) {
    if (version != worker_.version()) {
        done({.reply = {.outcome = call_outcome::disconnected}});
        return;
    }
    if (worker_.is_down()) {
        schedule_if_alive(call.timeout,
                          [done] { done({.reply = {.outcome = call_outcome::unanswered}}); });
        return;
    }
    const auto answer = worker_.renew(call);
    const bool keep_waiting = answer.reply.outcome == call_outcome::accepted &&
                              answer.lists.ends.empty() && worker_.loop().now() < until;
    if (!keep_waiting) {
        schedule_if_alive(call_delay, [done, answer] { done(answer); });
        return;
    }
    schedule_if_alive(poll_interval, [this, call, until, version, done] {
        wait_for_end(call, until, version, done);
    });
}

void fake_worker_link::start(const start_call& call,
                             std::function<void(workload::call_reply)> done) {
    const auto unanswered = [done] { done({.outcome = call_outcome::unanswered}); };
    if (leave_unanswered(call.timeout, unanswered,
                         [&worker = worker_, call] { worker.start(call); })) {
        return;
    }
    schedule_if_alive(call_delay, [this, call, done, unanswered] {
        if (worker_.is_down()) {
            schedule_if_alive(call.timeout, unanswered);
            return;
        }
        const auto answer = worker_.start(call);
        // The run may have crashed the worker before it answered.
        if (worker_.is_down()) {
            schedule_if_alive(call.timeout, unanswered);
        } else {
            schedule_if_alive(call_delay, [done, answer] { done(answer); });
        }
    });
}

void fake_worker_link::stop(const stop_call& call, std::function<void(workload::call_reply)> done) {
    const auto unanswered = [done] { done({.outcome = call_outcome::unanswered}); };
    if (leave_unanswered(call.timeout, unanswered,
                         [&worker = worker_, call] { worker.stop(call); })) {
        return;
    }
    schedule_if_alive(call_delay, [this, call, done] {
        const auto answer = worker_.stop(call);
        schedule_if_alive(call_delay, [done, answer] { done(answer); });
    });
}

}  // namespace baobabrack::fakes
