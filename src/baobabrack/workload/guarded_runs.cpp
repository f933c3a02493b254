#include "baobabrack/workload/guarded_runs.hpp"

#include <algorithm>

namespace baobabrack::workload {

namespace {

template <typename Run>
std::set<run_key> keys_of(const std::vector<Run>& runs) {
    std::set<run_key> keys;
    for (const auto& run : runs) {
        keys.emplace(run.task, run.run);
    }
    return keys;
}

}  // namespace

void guarded_runs::clear() {
    *this = {};
}

bool guarded_runs::has_ended(const run_key& key) const {
    return ended_.contains(key);
}

bool guarded_runs::may_have(const run_key& key) const {
    return starts_.contains(key) || is_listed(key);
}

bool guarded_runs::has_unlisted_starts() const {
    return std::any_of(starts_.begin(), starts_.end(), [&](const auto& entry) {
        return !is_listed(entry.first) && !has_ended(entry.first);
    });
}

bool guarded_runs::is_unknown(const run_key& key) const {
    return !may_have(key) && !may_have_ended(key) && !refusals_.contains(key);
}

resources guarded_runs::used() const {
    if (!used_) {
        used_.emplace();
        for (const auto& [key, start] : starts_) {
            if (!has_ended(key)) {
                used_->add(start.run.needs);
            }
        }
        for (const auto& [key, inherited_needs] : inherited_) {
            used_->add(inherited_needs);
        }
    }
    return *used_;
}

bool guarded_runs::fits(const resources& needs, const resources& capacity) const {
    auto total = used();
    total.add(needs);
    return capacity.can_fit(total);
}

void guarded_runs::record_needs(const run_needs& known) {
    const run_key key{known.task, known.run};
    if (is_listed(key) && !starts_.contains(key)) {
        inherited_[key] = known.needs;
        used_.reset();
    }
}

void guarded_runs::record_start(const start_order& run, unsigned attempts) {
    const auto [start, added] = starts_.insert_or_assign(
        {run.task, run.run}, started_run{.run = run, .attempts = attempts, .deciding_renewal = 0});
    if (used_ && added && !has_ended(start->first)) {
        used_->add(run.needs);
    } else {
        used_.reset();
    }
}

std::optional<guarded_runs::lost_start> guarded_runs::withdraw_start(const run_key& key) {
    auto found = starts_.extract(key);
    if (found.empty()) {
        return std::nullopt;
    }
    used_.reset();
    return lost_start{.run = std::move(found.mapped().run), .attempts = found.mapped().attempts};
}

bool guarded_runs::awaits_reply(const run_key& key) const {
    const auto found = starts_.find(key);
    return found != starts_.end() && found->second.deciding_renewal == 0;
}

void guarded_runs::set_deciding_renewal(const run_key& key, std::uint64_t renewal, bool accepted) {
    auto& start = starts_.at(key);
    start.deciding_renewal = renewal;
    start.accepted = accepted;
}

void guarded_runs::set_outdated(const run_key& key, std::uint64_t renewal) {
    auto& start = starts_.at(key);
    start.deciding_renewal = renewal;
    start.outdated = true;
}

void guarded_runs::record_refusal(const run_key& key, std::string reason) {
    if (starts_.erase(key) > 0) {
        used_.reset();
    }
    refusals_[key] = {.reason = std::move(reason), .first_report = 0};
}

guarded_runs::list_changes guarded_runs::apply_lists(std::uint64_t renewal, const run_lists& lists,
                                                     std::uint64_t ends_stored) {
    list_changes changes{.report_needed = !lists_known_ || lists.runs.size() != runs_.size(),
                         .lost_starts = {}};
    runs_ = lists.runs;
    ends_ = lists.ends;
    lists_incomplete_ = lists.incomplete;
    std::erase_if(ends_, [&](const ended_run& end) { return end.sequence <= ends_stored; });
    listed_ = keys_of(runs_);
    ended_ = keys_of(ends_);
    used_.reset();
    std::erase_if(inherited_, [&](const auto& entry) { return !is_listed(entry.first); });
    lists_known_ = true;
    lists_seen_ = true;
    for (auto& [key, start] : starts_) {
        if (is_listed(key)) {
            start.was_listed = true;
            start.run.payload = {};
        }
    }
    std::erase_if(starts_, [&](const auto& entry) {
        const auto& [key, start] = entry;
        const bool decided = start.deciding_renewal > 0 && start.deciding_renewal <= renewal;
        const bool conclusive = is_listed(key) || has_ended(key) || !lists.incomplete;
        if (!decided || is_listed(key) || !conclusive) {
            return false;
        }
        changes.report_needed = true;
        if (!has_ended(key)) {
            changes.lost_starts.push_back({.run = start.run,
                                           .attempts = start.attempts,
                                           .outdated = start.outdated || start.was_listed});
        }
        return true;
    });
    const auto last = ends_.empty() ? 0 : ends_.back().sequence;
    changes.report_needed = changes.report_needed || last > newest_end_;
    newest_end_ = std::max(newest_end_, last);
    return changes;
}

std::vector<sent_run> guarded_runs::sent_runs() const {
    std::vector<sent_run> sent;
    for (const auto& run : runs_) {
        sent.push_back({.task = run.task, .run = run.run, .begun = true});
    }
    for (const auto& [key, start] : starts_) {
        if (!is_listed(key) && !has_ended(key)) {
            sent.push_back({.task = key.first, .run = key.second, .begun = start.accepted});
        }
    }
    return sent;
}

void guarded_runs::add_to(worker_report& report, std::uint64_t report_number) {
    report.lists_known = lists_known_;
    report.runs = runs_;
    for (auto& run : report.runs) {
        const run_key key{run.task, run.run};
        run.needs_unknown = !starts_.contains(key) && !inherited_.contains(key);
    }
    for (const auto& [key, start] : starts_) {
        if (!is_listed(key) && !has_ended(key)) {
            report.runs.push_back(
                {.task = key.first, .run = key.second, .listed = false, .begun = start.accepted});
        }
    }
    report.ends = ends_;
    for (auto& [key, refused] : refusals_) {
        report.refusals.push_back({.task = key.first, .run = key.second, .reason = refused.reason});
        refused.first_report = refused.first_report == 0 ? report_number : refused.first_report;
    }
}

void guarded_runs::acknowledge_report(std::uint64_t report_number) {
    std::erase_if(refusals_, [&](const auto& entry) {
        return entry.second.first_report != 0 && entry.second.first_report <= report_number;
    });
}

}  // namespace baobabrack::workload
