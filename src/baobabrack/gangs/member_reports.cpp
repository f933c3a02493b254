#include "baobabrack/gangs/member_reports.hpp"

#include <algorithm>

#include "baobabrack/gangs/job.hpp"

namespace baobabrack {

bool member_reports::hear(const worker_id& worker, const wire::TaskReport& report) {
    auto* known =
        open(worker, job_id{report.task().job()}, attempt_number{report.task().attempt()});
    if (known == nullptr) {
        return false;
    }
    known->progress = std::max(known->progress, std::chrono::milliseconds{report.progress_ms()});
    known->checkpoint =
        std::max(known->checkpoint, std::chrono::milliseconds{report.checkpoint_ms()});
    known->usage = from_wire(report.usage());
    if (is_terminal(known->phase) || report.phase() <= known->phase) {
        return false;
    }
    known->phase = report.phase();
    return true;
}

void member_reports::started(const worker_id& worker, const job_id& job, attempt_number attempt) {
    auto* known = open(worker, job, attempt);
    if (known != nullptr && known->phase < wire::TASK_RUNNING) {
        known->phase = wire::TASK_RUNNING;
    }
}

const member_report* member_reports::find(const worker_id& worker, const job_id& job,
                                          attempt_number attempt) const {
    const auto found = attempts_.find(job);
    if (found == attempts_.end() || found->second.attempt != attempt) {
        return nullptr;
    }
    const auto member = found->second.members.find(worker);
    return member == found->second.members.end() ? nullptr : &member->second;
}

bool member_reports::all_finished(const job& gang) const {
    return !gang.members.empty() &&
           std::all_of(gang.members.begin(), gang.members.end(), [&](const job_member& member) {
               const auto* known = find(member.worker, gang.id, gang.attempt);
               return known != nullptr && known->phase == wire::TASK_FINISHED;
           });
}

std::chrono::milliseconds member_reports::saved(const job& gang) const {
    auto least = std::chrono::milliseconds::max();
    for (const auto& member : gang.members) {
        const auto* known = find(member.worker, gang.id, gang.attempt);
        least = std::min(least, known == nullptr ? std::chrono::milliseconds{} : known->checkpoint);
    }
    return gang.members.empty() ? std::chrono::milliseconds{} : least;
}

std::chrono::milliseconds member_reports::progress(const job& gang) const {
    auto least = std::chrono::milliseconds::max();
    for (const auto& member : gang.members) {
        const auto* known = find(member.worker, gang.id, gang.attempt);
        least = std::min(least, known == nullptr ? std::chrono::milliseconds{} : known->progress);
    }
    return gang.members.empty() ? std::chrono::milliseconds{} : least;
}

member_report* member_reports::open(const worker_id& worker, const job_id& job,
                                    attempt_number attempt) {
    auto& reports = attempts_[job];
    if (reports.attempt > attempt) {
        return nullptr;
    }
    if (reports.attempt < attempt) {
        reports.attempt = attempt;
        reports.members.clear();
    }
    return &reports.members[worker];
}

}  // namespace baobabrack
