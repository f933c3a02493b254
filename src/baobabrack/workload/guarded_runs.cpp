#include "baobabrack/workload/guarded_runs.hpp"

#include <algorithm>

namespace baobabrack::workload {

void guarded_runs::clear() {
    *this = {};
}

bool guarded_runs::listed(const run_key& key) const {
    return std::any_of(runs_.begin(), runs_.end(), [&](const run_report& run) {
        return run_key{run.task, run.run} == key;
    });
}

bool guarded_runs::ended(const run_key& key) const {
    return std::any_of(ends_.begin(), ends_.end(), [&](const run_end& end) {
        return run_key{end.task, end.run} == key;
    });
}

bool guarded_runs::has(const run_key& key) const {
    return starts_.contains(key) || listed(key);
}

bool guarded_runs::unheard_of(const run_key& key) const {
    return !has(key) && !ended(key) && !refusals_.contains(key);
}

bool guarded_runs::fits(const resources& needs, const resources& capacity) const {
    resources used = needs;
    for (const auto& [key, one] : starts_) {
        if (!ended(key)) {
            used.add(one.run.needs);
        }
    }
    return capacity.can_fit(used);
}

void guarded_runs::begin(const wanted_run& run, unsigned tries) {
    starts_[{run.task, run.run}] = {.run = run, .tries = tries, .decided_by_hold = 0};
}

std::optional<guarded_runs::missed_start> guarded_runs::take_back(const run_key& key) {
    auto found = starts_.extract(key);
    if (found.empty()) {
        return std::nullopt;
    }
    return missed_start{.run = std::move(found.mapped().run), .tries = found.mapped().tries};
}

bool guarded_runs::awaits(const run_key& key) const {
    const auto found = starts_.find(key);
    return found != starts_.end() && found->second.decided_by_hold == 0;
}

void guarded_runs::settle(const run_key& key, std::uint64_t hold) {
    starts_.at(key).decided_by_hold = hold;
}

void guarded_runs::refuse(const run_key& key, std::string reason) {
    starts_.erase(key);
    refusals_[key] = {.reason = std::move(reason), .first_report = 0};
}

guarded_runs::changes guarded_runs::take(std::uint64_t hold, const hold_lists& lists,
                                         std::uint64_t ends_stored) {
    changes found{.news = !lists_known_ || lists.runs.size() != runs_.size(), .missed = {}};
    runs_ = lists.runs;
    ends_ = lists.ends;
    std::erase_if(ends_, [&](const run_end& end) { return end.number <= ends_stored; });
    lists_known_ = true;
    std::erase_if(starts_, [&](const auto& start) {
        const auto& [key, one] = start;
        const bool decided = one.decided_by_hold > 0 && one.decided_by_hold <= hold;
        const bool conclusive = listed(key) || ended(key) || !lists.more_ends;
        if (!decided || listed(key) || !conclusive) {
            return false;
        }
        found.news = true;
        if (!ended(key)) {
            found.missed.push_back({.run = one.run, .tries = one.tries});
        }
        return true;
    });
    const auto last = ends_.empty() ? 0 : ends_.back().number;
    found.news = found.news || last > newest_end_;
    newest_end_ = std::max(newest_end_, last);
    return found;
}

void guarded_runs::tell(worker_report& report, std::uint64_t report_number) {
    report.lists_known = lists_known_;
    report.runs = runs_;
    for (const auto& [key, one] : starts_) {
        if (!listed(key) && !ended(key)) {
            report.runs.push_back({.task = key.first, .run = key.second});
        }
    }
    report.ends = ends_;
    for (auto& [key, one] : refusals_) {
        report.refusals.push_back({.task = key.first, .run = key.second, .reason = one.reason});
        one.first_report = one.first_report == 0 ? report_number : one.first_report;
    }
}

void guarded_runs::answered(std::uint64_t report_number) {
    std::erase_if(refusals_, [&](const auto& one) {
        return one.second.first_report != 0 && one.second.first_report <= report_number;
    });
}

}  // namespace baobabrack::workload
