#include "policy_run.hpp"

namespace baobabrack::bench {

namespace {

using namespace std::chrono_literals;

constexpr duration sample_interval = 60s;
constexpr duration retry_after_member_loss = 2s;

}  // namespace

void policy_run::begin_run(std::size_t job) {
    auto& state = states_[job];
    state.phase = job_phase::running;
    state.started = now_;
    auto running = job_of(job);
    running.saved = state.saved;
    watch_.runs(running, now_);
    planner_->gang_started(running, state.members, now_);
    auto& outcome = outcome_.jobs[job];
    if (!outcome.first_start) {
        outcome.first_start = now_;
    }
    if (input_.jobs[job].faulty || on_black_hole(job)) {
        schedule(now_ + costs_.failing, event_kind::fail, job, state.epoch);
        return;
    }
    const auto restart = state.saved > duration::zero() ? costs_.restart : duration::zero();
    const auto left = input_.jobs[job].run - state.saved + restart;
    schedule(now_ + left, event_kind::finish, job, state.epoch);
}

void policy_run::finish(std::size_t job) {
    for (const auto& member : states_[job].members) {
        planner_->task_ended(member.worker, job_of(job).id, false, now_);
    }
    release(job, gang_end::finished);
    outcome_.jobs[job].finished = now_;
    end(job);
}

void policy_run::fail(std::size_t job) {
    auto& state = states_[job];
    auto culprit = state.members.front().worker;
    if (on_black_hole(job)) {
        culprit = worker_id{input_.workers[input_.black_hole.worker].worker()};
    } else {
        ++state.attempts;
    }
    planner_->task_ended(culprit, job_of(job).id, true, now_);
    release(job, gang_end::failed);
    if (state.attempts >= costs_.attempts) {
        outcome_.jobs[job].failed = true;
        return end(job);
    }
    state.phase = job_phase::unborn;
    queue(job);
}

void policy_run::save_progress(std::size_t job, bool at_checkpoint) {
    auto& state = states_[job];
    if (!job_of(job).checkpointable) {
        state.saved = duration::zero();
        return;
    }
    const auto done = progress(job);
    const auto lost = at_checkpoint ? duration::zero() : done % costs_.checkpoint_interval;
    state.saved += done - lost;
}

void policy_run::stop(std::size_t job) {
    save_progress(job, true);
    release(job, gang_end::preempted);
    states_[job].phase = job_phase::unborn;
    queue(job);
}

void policy_run::lose(std::size_t job) {
    auto& state = states_[job];
    if (state.phase == job_phase::starting) {
        give_back(job);
        watch_.stops_waiting(job_of(job), now_);
        planner_->job_dropped(job_of(job).id);
    } else {
        save_progress(job, false);
        release(job, gang_end::member_lost);
    }
    state.phase = job_phase::unborn;
    ++state.epoch;
    schedule(now_ + retry_after_member_loss, event_kind::requeue, job, state.epoch);
}

void policy_run::take_down(const trace_outage& outage) {
    std::set<worker_id> gone;
    for (const auto worker : outage.workers) {
        if (down_[worker]++ == 0) {
            const worker_id id{input_.workers[worker].worker()};
            workers_.leave(id, incarnation{versions_[worker]});
            gone.insert(id);
        }
    }
    for (std::size_t job = 0; job < states_.size(); ++job) {
        const auto& members = states_[job].members;
        if (std::any_of(members.begin(), members.end(),
                        [&](const gang_member& member) { return gone.count(member.worker) > 0; })) {
            lose(job);
        }
    }
    dirty_ = true;
}

void policy_run::bring_up(const trace_outage& outage) {
    for (const auto worker : outage.workers) {
        if (--down_[worker] == 0) {
            auto facts = input_.workers[worker];
            facts.set_incarnation(++versions_[worker]);
            workers_.join(facts);
        }
    }
    dirty_ = true;
}

bool policy_run::is_whole(const planned_job& job, const std::vector<gang_member>& members) const {
    std::uint32_t sum = 0;
    std::set<std::string> places;
    for (const auto& member : members) {
        const auto* worker = workers_.find(member.worker);
        if (worker == nullptr) {
            return false;
        }
        sum += member.count;
        const auto& place = worker->place;
        switch (job.shape.adjacency()) {
            case wire::ADJACENCY_WORKER:
                places.insert(worker->id.get());
                break;
            case wire::ADJACENCY_RACK:
                places.insert(place.data_centre.get() + "/" + place.rack.get());
                break;
            case wire::ADJACENCY_DATA_CENTRE:
                places.insert(place.region.get() + "/" + place.data_centre.get());
                break;
            default:
                places.insert(place.region.get());
        }
    }
    return sum == job.shape.members() && places.size() == 1;
}

bool policy_run::take_all(std::size_t job, const std::vector<gang_member>& members) {
    auto& state = states_[job];
    state.versions.clear();
    state.members.clear();
    const auto unit = query_of(job_of(job)).unit;
    for (const auto& member : members) {
        if (!workers_.allocate(member.worker, unit, member.count)) {
            give_back(job);
            return false;
        }
        state.members.push_back(member);
        state.versions.push_back(workers_.find(member.worker)->version);
    }
    return true;
}

void policy_run::carry_out(const planned_start& one) {
    const auto job = by_id_.at(one.job);
    auto& state = states_[job];
    if (!is_whole(job_of(job), one.members) || !take_all(job, one.members)) {
        ++outcome_.partial_gangs;
        planner_->start_failed(one.job, one.members.front().worker, now_);
        dirty_ = true;
        return;
    }
    leave_queue(job);
    state.phase = job_phase::starting;
    ++state.epoch;
    schedule(now_ + costs_.start, event_kind::started, job, state.epoch);
}

void policy_run::carry_out(const planned_stop& one) {
    const auto job = by_id_.at(one.job);
    auto& state = states_[job];
    if (state.phase != job_phase::running) {
        return;
    }
    state.phase = job_phase::stopping;
    ++state.epoch;
    ++outcome_.preemptions;
    ++outcome_.jobs[job].stops;
    constexpr std::size_t steps = 97;
    const auto span = (costs_.longest_stop - costs_.shortest_stop) / steps;
    const auto delay =
        costs_.shortest_stop + span * static_cast<int>((job * 31 + state.epoch) % steps);
    schedule(now_ + delay, event_kind::stopped, job, state.epoch);
}

void policy_run::decide() {
    const auto before = std::chrono::steady_clock::now();
    const auto decided = planner_->decide(now_);
    const auto took = std::chrono::steady_clock::now() - before;
    outcome_.decision_us.push_back(std::chrono::duration<double, std::micro>(took).count());
    for (const auto& one : decided.refusals) {
        const auto job = by_id_.at(one.job);
        watch_.stops_waiting(job_of(job), now_);
        outcome_.jobs[job].refused = true;
        end(job);
    }
    for (const auto& one : decided.stops) {
        carry_out(one);
    }
    for (const auto& one : decided.starts) {
        carry_out(one);
    }
    note_shortfalls();
}

void policy_run::note_shortfalls() {
    if (guaranteed_ == nullptr) {
        return;
    }
    std::set<workspace_id> named;
    for (const auto& one : guaranteed_->shortfalls()) {
        named.insert(one.workspace);
    }
    for (const auto& workspace : named) {
        if (short_.count(workspace) == 0) {
            watch_.set_shortfall(workspace, true, now_);
        }
    }
    for (const auto& workspace : short_) {
        if (named.count(workspace) == 0) {
            watch_.set_shortfall(workspace, false, now_);
        }
    }
    if (!short_.empty()) {
        outcome_.shortfall += now_ - short_since_;
    }
    short_since_ = now_;
    short_ = std::move(named);
}

void policy_run::sample() {
    if (now_ >= input_.end) {
        return;
    }
    schedule(now_ + sample_interval, event_kind::sample);
    ++samples_;
    const auto free = index_.available().accelerators();
    if (free == 0) {
        return;
    }
    auto shapes = guaranteed_shapes_;
    for (const auto job : waiting_large_) {
        const auto query = query_of(job_of(job));
        if (std::find(shapes.begin(), shapes.end(), query) == shapes.end()) {
            shapes.push_back(query);
        }
    }
    const auto usable = std::min(usable_accelerators(index_.available(), shapes), free);
    stranded_sum_ += static_cast<double>(free - usable);
    fragmentation_sum_ += static_cast<double>(free - usable) / static_cast<double>(free);
}

}  // namespace baobabrack::bench
