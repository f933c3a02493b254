// The calls of a guard that start and stop runs on its worker.
#include <utility>

#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload/worker_guard.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;

// Number of attempts for a start that is confirmed not to have happened, before the start is
// reported to the leader as refused.
constexpr unsigned max_start_attempts = 4;
// After this multiple of the maximum age of an announcement, a start is refused instead of delayed,
// so that the leader can place the task elsewhere.
constexpr int refusal_age_factor = 2;
// A worker that responded this recently is running.
constexpr duration fresh_response_age = 5ms;
constexpr duration stop_retry_delay = 400ms;

}  // namespace

void worker_guard::handle_start_order(const start_order& run) {
    const run_key key{run.task, run.run};
    // Later orders contain the start again.
    if (!runs_.lists_known() || instance_doubtful_ || !runs_.is_unknown(key)) {
        return;
    }
    if (facts_->draining) {
        refuse_start(key, "the worker is draining");
        return;
    }
    if (is_evacuated()) {
        refuse_start(key, "the data centre is evacuated");
        return;
    }
    if (!evacuations_.is_recent(loop_.now())) {
        // Orders with newer information contain the start again.
        return;
    }
    check_announcement_age();
    if (capacity_outdated_) {
        // The next orders contain the start again.
        if (announcement_age_.value(loop_.now()) >
            options_.max_announcement_age * refusal_age_factor) {
            refuse_start(key, "the worker has not announced its capacity for too long");
        }
        return;
    }
    if (!runs_.fits(run.needs, facts_->capacity)) {
        refuse_start(key, "no room beside the runs on the worker");
        return;
    }
    if (run.confirm_worker && loop_.now() - last_response_at_ > fresh_response_age) {
        confirm_worker_for(run);
        return;
    }
    send_start(run, 1);
}

// Delays a start until the worker responds. A start that gets no answer then tells that the run has
// crashed the worker, and not that the worker was down before.
void worker_guard::confirm_worker_for(const start_order& run) {
    if (!unconfirmed_starts_.insert_or_assign({run.task, run.run}, run).second) {
        return;
    }
    log_event(log_level::info, "start-delayed")
        .field("job", run.task.step.job.get())
        .field("task", to_text(run.task))
        .field("run", run.run.get())
        .field("reason", "the worker has to respond first");
    send_renewal(duration::zero());
}

void worker_guard::send_confirmed_starts() {
    for (const auto& [key, run] : std::exchange(unconfirmed_starts_, {})) {
        handle_start_order(run);
    }
}

// Sends a start call if the lease can be extended for it.
bool worker_guard::send_start(const start_order& run, unsigned attempts) {
    const auto lease_until = lease_.extend(loop_.now());
    if (!lease_until || instance_doubtful_) {
        return false;
    }
    const run_key key{run.task, run.run};
    runs_.record_start(run, attempts);
    log_event(log_level::info, "run-starting")
        .field("job", run.task.step.job.get())
        .field("task", to_text(run.task))
        .field("run", run.run.get())
        .field("try", attempts)
        .field("term", term_)
        .field("token", token_.get());
    worker_.start({.worker = facts_->instance,
                   .run = run,
                   .token = token_,
                   .lease_until = *lease_until,
                   .timeout = call_timeout},
                  [this, key, instance = facts_->instance](const call_reply& reply) {
                      handle_start_reply(key, instance, reply);
                  });
    return true;
}

// Sends a lost start again with the current token, which is higher than that of the lost call.
void worker_guard::retry_start(const guarded_runs::lost_start& lost, const std::string& reason) {
    const run_key key{lost.run.task, lost.run.run};
    check_announcement_age();
    const bool may_start = !is_evacuated() && evacuations_.is_recent(loop_.now());
    const bool wanted = may_start && !stops_sent_.contains(key) && !facts_->draining &&
                        !capacity_outdated_ && runs_.fits(lost.run.needs, facts_->capacity);
    if (!wanted || lost.outdated || lost.attempts >= max_start_attempts ||
        !send_start(lost.run, lost.attempts + 1)) {
        refuse_start(key, reason);
    }
}

void worker_guard::handle_start_reply(const run_key& key, const worker_instance& instance,
                                      const call_reply& reply) {
    if (!facts_ || facts_->instance != instance || !runs_.awaits_reply(key)) {
        return;
    }
    update_clock(reply);
    log_event(reply.outcome == call_outcome::accepted ? log_level::info : log_level::warning,
              "start-answered")
        .field("job", key.first.step.job.get())
        .field("task", to_text(key.first))
        .field("run", key.second.get())
        .field("outcome", to_string(reply.outcome));
    metrics_
        .get_counter("baobabrack_worker_starts_total", "Starts by how the worker answered",
                     {{"outcome", std::string{to_string(reply.outcome)}}})
        .add();
    switch (reply.outcome) {
        case call_outcome::accepted:
            runs_.set_deciding_renewal(key, renewals_sent_ + 1, true);
            break;
        case call_outcome::unanswered:
        case call_outcome::disconnected:
            increase_token(token_step);
            runs_.set_deciding_renewal(key, renewals_sent_ + 1, false);
            renewal_in_flight_ = false;
            schedule_renewal();
            break;
        case call_outcome::outdated:
            // An earlier guard may have started the run, and it may have completed.
            runs_.set_outdated(key, renewals_sent_ + 1);
            renewal_in_flight_ = false;
            schedule_renewal();
            break;
        case call_outcome::fenced:
            if (const auto lost = runs_.withdraw_start(key)) {
                increase_token(token_step);
                retry_start(*lost, std::string{to_string(reply.outcome)});
            }
            break;
        default:
            refuse_start(key, std::string{to_string(reply.outcome)});
            break;
    }
    schedule_report();
}

void worker_guard::handle_stop_order(const stop_order& run) {
    const run_key key{run.task, run.run};
    unconfirmed_starts_.erase(key);
    if (!runs_.may_have(key)) {
        if (runs_.lists_known() && !runs_.may_have_ended(key)) {
            refuse_start(key, "it was never started");
        }
        return;
    }
    auto& sent = stops_sent_[key];
    if (sent != time_point{} && loop_.now() - sent < stop_retry_delay) {
        return;
    }
    sent = loop_.now();
    log_event(log_level::info, "run-stopping")
        .field("job", run.task.step.job.get())
        .field("task", to_text(run.task))
        .field("run", run.run.get())
        .field("term", term_);
    worker_.stop({.worker = facts_->instance, .run = run, .token = token_, .timeout = call_timeout},
                 [this, run, instance = facts_->instance](const call_reply& reply) {
                     handle_stop_reply(run, instance, reply);
                 });
}

void worker_guard::handle_stop_reply(const stop_order& run, const worker_instance& instance,
                                     const call_reply& reply) {
    if (!facts_ || facts_->instance != instance) {
        return;
    }
    update_clock(reply);
    const bool failed = reply.outcome == call_outcome::unanswered ||
                        reply.outcome == call_outcome::disconnected ||
                        reply.outcome == call_outcome::fenced;
    const run_key key{run.task, run.run};
    if (!failed || !runs_.may_have(key)) {
        return;
    }
    if (reply.outcome == call_outcome::fenced) {
        increase_token(token_step);
    }
    failed_stops_.insert(key);
}

bool worker_guard::is_evacuated() const {
    return evacuations_.is_evacuated(facts_->data_centre);
}

void worker_guard::refuse_start(const run_key& key, const std::string& reason) {
    log_event(log_level::warning, "start-refused")
        .field("job", key.first.step.job.get())
        .field("task", to_text(key.first))
        .field("run", key.second.get())
        .field("reason", reason);
    runs_.record_refusal(key, reason);
    schedule_report();
}

}  // namespace baobabrack::workload
