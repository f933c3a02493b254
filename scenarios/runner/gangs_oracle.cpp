#include "runner/gangs_oracle.hpp"

#include <algorithm>

namespace baobabrack::scenario {

namespace {

// Time to stop a gang's other members once the loss of one was noticed.
constexpr duration stop_allowance = std::chrono::seconds{10};

}  // namespace

gangs_oracle::gangs_oracle(runtime& loop, fakes::fake_workers& workers, const gang_options& options)
    : loop_(loop), workers_(workers), options_(options), replay_({&state_}) {
    state_.listen(static_cast<job_listener&>(*this));
    workers_.on_finished = [this](const worker_id& worker, const job_id& job,
                                  attempt_number attempt) { finished(worker, job, attempt); };
}

gangs_oracle::~gangs_oracle() {
    workers_.on_finished = nullptr;
    state_.forget(static_cast<job_listener&>(*this));
}

void gangs_oracle::finished(const worker_id& worker, const job_id& job, attempt_number attempt) {
    finished_[{job.get(), attempt.get()}].insert(worker);
}

void gangs_oracle::fail(const std::string& what) {
    if (violation_.empty()) {
        violation_ = what + " at " + std::to_string(loop_.now().time_since_epoch().count()) + " us";
    }
}

void gangs_oracle::check() {
    const auto running = running_now();
    check_running(running);
    check_partial(running);
}

gangs_oracle::running_map gangs_oracle::running_now() {
    running_map running;
    for (const auto& [id, one] : workers_.alive()) {
        if (one->paused()) {
            continue;
        }
        auto left = from_wire(one->facts().capacity());
        for (const auto& task : one->held()) {
            if (!task.running) {
                continue;
            }
            if (!left.can_fit(task.size)) {
                std::string tasks;
                for (const auto& other : one->held()) {
                    tasks += ' ' + other.job.get() + '/' + std::to_string(other.attempt.get()) +
                             (other.running ? "r" : "p");
                }
                fail("worker " + id.get() + " runs more than it has:" + tasks);
                continue;
            }
            left.subtract(task.size);
            running[task.job.get()][task.attempt.get()].insert(id);
        }
    }
    return running;
}

void gangs_oracle::check_running(const running_map& running) {
    for (const auto& [id, attempts] : running) {
        const auto* known = state_.find(job_id{id});
        if (attempts.size() > 1) {
            fail("two attempts of job " + id + " run at once");
        }
        for (const auto& [attempt, workers] : attempts) {
            const bool granted =
                known != nullptr && known->attempt.get() == attempt && !known->members.empty();
            if (!granted) {
                fail("job " + id + " attempt " + std::to_string(attempt) + " runs on " +
                     workers.begin()->get() + " without a grant");
            }
        }
    }
}

void gangs_oracle::check_partial(const running_map& running) {
    std::map<attempt_key, time_point> still;
    const auto calm_bound =
        options_.silence_limit + options_.sync_interval + options_.task_lease + stop_allowance;
    const auto worst_bound = options_.renewal_limit + options_.lapse_wait() + stop_allowance;
    for (const auto& [id, attempts] : running) {
        for (const auto& [attempt, workers] : attempts) {
            const attempt_key key{id, attempt};
            if (!is_partial(key, workers)) {
                continue;
            }
            const auto known = partial_since_.find(key);
            const auto since = known == partial_since_.end() ? loop_.now() : known->second;
            still[key] = since;
            longest_partial = std::max(longest_partial, loop_.now() - since);
            const bool calm = calm_since_ != time_point::max();
            const auto calm_for = calm ? loop_.now() - std::max(since, calm_since_) : duration{};
            if (calm_for > calm_bound || loop_.now() - since > worst_bound) {
                fail("job " + id + " attempt " + std::to_string(attempt) + " runs in part since " +
                     std::to_string(since.time_since_epoch().count()) + " us");
            }
        }
    }
    partial_since_ = std::move(still);
}

bool gangs_oracle::is_partial(const attempt_key& key, const std::set<worker_id>& running) const {
    const auto members = members_.find(key);
    if (members == members_.end()) {
        return false;
    }
    const auto done = finished_.find(key);
    return std::any_of(
        members->second.begin(), members->second.end(), [&](const worker_id& member) {
            const bool ended = done != finished_.end() && done->second.count(member) != 0;
            return running.count(member) == 0 && !ended;
        });
}

void gangs_oracle::check_resources(const job_state& state, const std::string& owner) {
    for (const auto& [id, one] : state.workers().workers()) {
        auto held = resources{};
        for (const auto& holder : state.holders(id)) {
            const auto* gang = state.find(holder);
            for (const auto& member : gang->members) {
                if (member.worker == id && member.version == one.version) {
                    held.add(gang->per_member(), member.count);
                }
            }
        }
        held.add(one.free);
        if (held != one.capacity) {
            fail("the free resources of " + id.get() + " at " + owner +
                 " are not its capacity less its gangs");
        }
    }
}

void gangs_oracle::job_queued(const job& /*queued*/) {
}

void gangs_oracle::gang_committed(const job& committed) {
    ++commits;
    auto& members = members_[{committed.id.get(), committed.attempt.get()}];
    for (const auto& member : committed.members) {
        members.insert(member.worker);
    }
}

void gangs_oracle::gang_stopping(const job& stopping) {
    ++stops[stopping.stopping];
}

void gangs_oracle::gang_released(const job& ended, const std::vector<job_member>& members,
                                 wire::StopReason reason) {
    ++releases;
    if (reason != wire::STOP_REASON_UNSPECIFIED) {
        return;
    }
    const auto& done = finished_[{ended.id.get(), ended.attempt.get()}];
    for (const auto& member : members) {
        if (done.count(member.worker) == 0) {
            fail("job " + ended.id.get() + " counts as finished, but its member on " +
                 member.worker.get() + " has not run to its end");
        }
    }
}

void gangs_oracle::job_ended(const job& ended) {
    ++ends;
    if (ended.cancel_requested && ended.phase == job_phase::failed) {
        fail("job " + ended.id.get() + " was cancelled and counts as failed");
    }
}

}  // namespace baobabrack::scenario
