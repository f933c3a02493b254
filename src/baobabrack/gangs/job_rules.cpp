#include "baobabrack/gangs/job_rules.hpp"

#include <algorithm>
#include <boost/outcome/success_failure.hpp>
#include <set>

namespace baobabrack {

namespace {

constexpr std::uint32_t default_attempts = 3;
// Failures on one worker count only once towards a job's attempts, so their number has a bound of
// its own: this many times the attempts.
constexpr std::uint32_t repeat_allowance = 3;

// Attempts in a row that may lose a worker soon after their start.
constexpr unsigned max_early_losses = 4;
// An attempt that is stopped later has survived its start. Includes the time in which the loss of a
// worker is noticed.
constexpr std::chrono::milliseconds early_loss_time = std::chrono::seconds{30};

bool ended_with_lost_worker(const stop_note& stop) {
    return stop.lost_worker &&
           (stop.reason == wire::STOP_MEMBER_LOST || stop.reason == wire::STOP_START_FAILED);
}

bool failed_there_before(const job& target, const worker_id& culprit) {
    return std::any_of(target.stops.begin(), target.stops.end(), [&](const stop_note& stop) {
        return stop.reason == wire::STOP_TASK_FAILED && stop.failed_worker == culprit &&
               stop.attempt != target.attempt;
    });
}

std::uint32_t failed_stops(const job& target) {
    return static_cast<std::uint32_t>(
        std::count_if(target.stops.begin(), target.stops.end(),
                      [](const stop_note& stop) { return stop.reason == wire::STOP_TASK_FAILED; }));
}

std::uint32_t allowed_attempts(const job& target) {
    return target.spec.max_attempts() == 0 ? default_attempts : target.spec.max_attempts();
}

}  // namespace

failure unknown_job(const std::string& id) {
    return {failure_kind::not_found, "job \"" + id + "\" is not known",
            "check its id; ended jobs are forgotten after a time"};
}

failure wrong_phase(const job& target, std::string_view wanted) {
    return {failure_kind::conflict,
            "job \"" + target.id.get() + "\" is " + std::string{to_string(target.phase)} +
                " at attempt " + std::to_string(target.attempt.get()) + ", not " +
                std::string{wanted},
            "read the job again and act on its present phase"};
}

result<void> check_spec(const wire::JobSpec& spec) {
    if (spec.id().empty()) {
        return failure{failure_kind::invalid, "the job has no id", "give it one"};
    }
    if (spec.shape().members() == 0) {
        return failure{failure_kind::invalid, "the job's shape has no members",
                       "ask for at least one member"};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> check_members(const job& target, const wire::GangCommitted& committed,
                           const fleet& workers) {
    const auto part = target.per_member();
    std::set<std::string> seen;
    std::uint64_t count = 0;
    for (const auto& member : committed.members()) {
        const auto* holder = workers.find(worker_id{member.worker()});
        if (holder == nullptr || holder->version != incarnation{member.incarnation()}) {
            return failure{failure_kind::conflict,
                           "worker \"" + member.worker() + "\" is gone or was replaced",
                           "plan the gang anew"};
        }
        if (!seen.insert(member.worker()).second || member.count() == 0) {
            return failure{failure_kind::invalid,
                           "the gang names worker \"" + member.worker() + "\" twice or for nothing",
                           "name each worker once with its count"};
        }
        if (holder->free.fit_count(part) < member.count()) {
            return failure{failure_kind::conflict,
                           "worker \"" + member.worker() + "\" has too little free",
                           "plan the gang anew"};
        }
        count += member.count();
    }
    if (count != target.spec.shape().members()) {
        return failure{failure_kind::invalid, "the gang is not whole", "grant every member"};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void count_failure(job& target, const worker_id& culprit) {
    if (culprit.get().empty() || !failed_there_before(target, culprit)) {
        ++target.failures;
    }
}

bool is_exhausted(const job& target) {
    const auto allowed = allowed_attempts(target);
    const auto most = std::min<std::uint32_t>(allowed * repeat_allowance, most_stops_kept);
    return target.failures >= allowed || failed_stops(target) >= std::max(most, allowed);
}

bool loses_workers(const job& target) {
    const auto survived =
        std::find_if(target.stops.rbegin(), target.stops.rend(),
                     [](const stop_note& stop) { return stop.lasted >= early_loss_time; });
    return std::count_if(target.stops.rbegin(), survived, ended_with_lost_worker) >=
           max_early_losses;
}

}  // namespace baobabrack
