#include "policy_run.hpp"

namespace baobabrack::bench {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 10s;
/// Work that has not ended by then counts as never finished.
constexpr duration longest_drain = 240h;
constexpr duration sample_interval = 60s;

}  // namespace

policy_run::policy_run(const trace& input, const planner_factory& planners, const gang_costs& costs)
    : input_(input), costs_(costs), index_(workers_), watch_(input.ticket) {
    tickets_.apply(input.ticket);
    for (const auto& worker : input.workers) {
        workers_.join(worker);
    }
    versions_.assign(input.workers.size(), 1);
    down_.assign(input.workers.size(), 0);
    planner_ = planners.make(workers_, tickets_);
    guaranteed_ = dynamic_cast<const guarantee_planner*>(planner_.get());
    states_.resize(input.jobs.size());
    outcome_.jobs.resize(input.jobs.size());
    collect_shapes();
}

policy_outcome policy_run::run() {
    schedule_trace();
    while (!events_.empty() && ended_ < states_.size() && now_ < input_.end + longest_drain) {
        advance(events_.top().at);
        while (!events_.empty() && events_.top().at == now_) {
            const auto next = events_.top();
            events_.pop();
            handle(next);
        }
        if (std::exchange(dirty_, false)) {
            decide();
        }
    }
    outcome_.reclaims = watch_.reclaims();
    outcome_.guarantee_misses = watch_.misses();
    const auto samples = static_cast<double>(std::max<std::uint64_t>(samples_, 1));
    outcome_.fragmentation = fragmentation_sum_ / samples;
    outcome_.stranded_accelerators = stranded_sum_ / samples;
    outcome_.utilisation = held_time_ / std::max(capacity_time_, 1.0);
    return std::move(outcome_);
}

void policy_run::schedule(time_point at, event_kind kind, std::size_t subject,
                          std::uint32_t epoch) {
    events_.push({at, next_event_++, kind, subject, epoch});
}

void policy_run::collect_shapes() {
    for (const auto& workspace : input_.ticket.workspaces()) {
        for (const auto& guarantee : workspace.guarantees()) {
            const auto query = query_of(guarantee);
            if (std::find(guaranteed_shapes_.begin(), guaranteed_shapes_.end(), query) ==
                guaranteed_shapes_.end()) {
                guaranteed_shapes_.push_back(query);
            }
        }
    }
    for (std::size_t job = 0; job < input_.jobs.size(); ++job) {
        by_id_.emplace(job_of(job).id, job);
    }
}

void policy_run::schedule_trace() {
    for (std::size_t job = 0; job < input_.jobs.size(); ++job) {
        schedule(job_of(job).submitted, event_kind::submit, job);
        if (input_.jobs[job].cancelled) {
            schedule(*input_.jobs[job].cancelled, event_kind::cancel, job);
        }
    }
    for (std::size_t outage = 0; outage < input_.outages.size(); ++outage) {
        schedule(input_.outages[outage].from, event_kind::down, outage);
        schedule(input_.outages[outage].from + input_.outages[outage].length, event_kind::up,
                 outage);
    }
    schedule(time_point{} + tick_interval, event_kind::tick);
    schedule(time_point{} + sample_interval, event_kind::sample);
}

void policy_run::advance(time_point to) {
    if (now_ < input_.end) {
        const auto until = std::min(to, input_.end);
        const auto span = std::chrono::duration<double>(until - now_).count();
        const auto capacity = static_cast<double>(index_.capacity().accelerators());
        const auto free = static_cast<double>(index_.available().accelerators());
        capacity_time_ += span * capacity;
        held_time_ += span * (capacity - free);
    }
    now_ = to;
}

void policy_run::handle(const event& one) {
    switch (one.kind) {
        case event_kind::tick:
            dirty_ = true;
            return schedule(now_ + tick_interval, event_kind::tick);
        case event_kind::sample:
            return sample();
        case event_kind::down:
            return take_down(input_.outages[one.subject]);
        case event_kind::up:
            return bring_up(input_.outages[one.subject]);
        case event_kind::submit:
            return queue(one.subject);
        case event_kind::cancel:
            return cancel(one.subject);
        default:
            break;
    }
    if (states_[one.subject].epoch != one.epoch) {
        return;
    }
    switch (one.kind) {
        case event_kind::started:
            return begin_run(one.subject);
        case event_kind::finish:
            return finish(one.subject);
        case event_kind::fail:
            return fail(one.subject);
        case event_kind::stopped:
            return stop(one.subject);
        default:
            return queue(one.subject);
    }
}

void policy_run::queue(std::size_t job) {
    auto& state = states_[job];
    if (state.phase == job_phase::ended || state.phase == job_phase::waiting) {
        return;
    }
    state.phase = job_phase::waiting;
    ++state.epoch;
    auto waiting = job_of(job);
    waiting.saved = state.saved;
    planner_->job_queued(waiting);
    watch_.waits(waiting, now_);
    waiting_large_.erase(job);
    if (query_of(waiting).accelerators() >= large_gang) {
        waiting_large_.insert(job);
    }
    dirty_ = true;
}

void policy_run::end(std::size_t job) {
    auto& state = states_[job];
    if (state.phase == job_phase::ended) {
        return;
    }
    leave_queue(job);
    state.phase = job_phase::ended;
    ++state.epoch;
    ++ended_;
    dirty_ = true;
}

void policy_run::give_back(std::size_t job) {
    auto& state = states_[job];
    const auto unit = query_of(job_of(job)).unit;
    for (std::size_t at = 0; at < state.members.size(); ++at) {
        workers_.release(state.members[at].worker, state.versions[at], unit,
                         state.members[at].count);
    }
    state.members.clear();
}

void policy_run::release(std::size_t job, gang_end how) {
    give_back(job);
    planner_->gang_ended(job_of(job).id, how, now_);
    watch_.stops_running(job_of(job), now_);
    dirty_ = true;
}

duration policy_run::progress(std::size_t job) const {
    const auto& state = states_[job];
    const auto restart = state.saved > duration::zero() ? costs_.restart : duration::zero();
    return std::max(now_ - state.started - restart, duration::zero());
}

void policy_run::cancel(std::size_t job) {
    auto& state = states_[job];
    state.cancelled = true;
    if (state.phase == job_phase::ended) {
        return;
    }
    if (state.phase == job_phase::running || state.phase == job_phase::stopping) {
        release(job, gang_end::cancelled);
    } else {
        watch_.stops_waiting(job_of(job), now_);
        if (state.phase == job_phase::starting) {
            give_back(job);
        }
        planner_->job_dropped(job_of(job).id);
    }
    end(job);
}

bool policy_run::on_black_hole(std::size_t job) const {
    const auto& hole = input_.black_hole;
    if (now_ < hole.from || now_ >= hole.until) {
        return false;
    }
    const auto& worker = input_.workers[hole.worker].worker();
    const auto& members = states_[job].members;
    return std::any_of(members.begin(), members.end(),
                       [&](const gang_member& member) { return member.worker.get() == worker; });
}

policy_outcome simulate(const trace& input, const planner_factory& planners,
                        const gang_costs& costs) {
    return policy_run(input, planners, costs).run();
}

}  // namespace baobabrack::bench
