#include "baobabrack/ctl/logged_history.hpp"

#include <algorithm>
#include <charconv>

namespace baobabrack::ctl {

namespace {

constexpr std::string_view step_prefix = "step ";
constexpr std::string_view no_hosts = "; no room on 0 hosts";
constexpr std::string_view left_out = "; hosts left out as ";

std::optional<workload::stop_cause> parse_stop_cause(std::string_view text) {
    const auto* const found = std::find_if(
        workload::stop_causes.begin(), workload::stop_causes.end(),
        [&](workload::stop_cause cause) { return text.starts_with(workload::to_string(cause)); });
    return found == workload::stop_causes.end() ? std::nullopt : std::optional{*found};
}

// Schedulers before the field `waits_for` tell only in the text what a job waits for. It does not
// tell whether workers that are left out would have had room, unless all of them are.
std::pair<waiting_cause, std::string> parse_wait_text(const std::string& text) {
    if (text.find("; there is room on hosts that are reserved") != std::string::npos) {
        return {waiting_cause::reserved, ""};
    }
    const auto reason = text.find(left_out);
    if (text.find(no_hosts) == std::string::npos || reason == std::string::npos) {
        return {waiting_cause::capacity, ""};
    }
    const auto begin = reason + left_out.size();
    return {waiting_cause::excluded, text.substr(begin, text.find(':', begin) - begin)};
}

std::pair<waiting_cause, std::string> parse_wait(const log_record& record) {
    const auto& name = record.text("waits_for");
    if (name.empty()) {
        return parse_wait_text(record.text("reason"));
    }
    if (name == "avoided_hosts") {
        return {waiting_cause::excluded, "avoided after failures of the job"};
    }
    for (const auto cause : {waiting_cause::whole_worker, waiting_cause::rack,
                             waiting_cause::reserved, waiting_cause::excluded}) {
        if (name == to_string(cause)) {
            return {cause, record.text("excluded_as")};
        }
    }
    return {waiting_cause::capacity, ""};
}

std::size_t parse_step(std::string_view text) {
    std::size_t step = 0;
    if (text.starts_with(step_prefix)) {
        text.remove_prefix(step_prefix.size());
        std::from_chars(text.data(), text.data() + text.size(), step);
    }
    return step;
}

// Finds the spans in which no scheduler leads, from the lines of the schedulers.
class leadership_reader {
public:
    void read(const log_record& record, logged_history& into) {
        if (!first_line_) {
            first_line_ = record.time;
        }
        if (record.event == "lead-claimed") {
            const auto silent = std::max<std::int64_t>(record.number("silent_ms").value_or(0), 0);
            claims_[record.process] =
                record.time - std::chrono::milliseconds{std::min(silent, max_silent_ms)};
        } else if (record.event == "lead-lost" && record.process == leader_) {
            lost_at_ = record.time;
        } else if (record.event == "lead-taken") {
            const auto begin = lead_ended(record);
            if (begin < record.time) {
                into.leaderless.push_back({.begin = begin, .end = record.time});
            }
            leader_ = record.process;
            lost_at_.reset();
        }
        if (record.process == leader_) {
            leader_last_line_ = record.time;
        }
    }

    // Ends the last span if the logs end without a leader.
    void finish(log_time last, logged_history& into) const {
        if (lost_at_ && *lost_at_ < last) {
            into.leaderless.push_back({.begin = *lost_at_, .end = last});
        }
    }

private:
    static constexpr std::int64_t max_silent_ms = 86'400'000;

    // Returns when the leader before the new one last decided. A leader that was killed does not
    // say so, but the claim says for how long it was silent.
    log_time lead_ended(const log_record& taken) const {
        if (leader_.empty()) {
            return *first_line_;
        }
        const auto claim = claims_.find(taken.process);
        auto ended = claim == claims_.end() ? leader_last_line_ : claim->second;
        if (lost_at_) {
            ended = std::min(ended, *lost_at_);
        }
        return std::max(ended, *first_line_);
    }

    std::optional<log_time> first_line_;
    std::string leader_;
    log_time leader_last_line_{};
    std::optional<log_time> lost_at_;
    // By process: since when the leader had been silent at its latest claim.
    std::map<std::string, log_time> claims_;
};

void read_job_line(const log_record& record, job_history& job) {
    if (record.event == "job-submitted") {
        if (!job.submitted) {
            job.submitted = parse_submitted_job(record);
        }
    } else if (record.event == "call-answered") {
        if (record.text("call") == "submit" && record.text("answer") == "accepted") {
            job.accepted = std::min(job.accepted.value_or(record.time), record.time);
        }
    } else if (record.event == "job-waiting") {
        auto [cause, reason] = parse_wait(record);
        job.waits.push_back({.time = record.time,
                             .step = parse_step(record.text("reason")),
                             .cause = cause,
                             .reason = std::move(reason)});
    } else if (!job.ended && (record.event == "job-completed" || record.event == "job-failed" ||
                              record.event == "job-cancelled")) {
        job.ended = record.time;
        job.completed = record.event == "job-completed";
    }
}

}  // namespace

bool is_from_guard(const log_record& record) {
    return record.role == "worker_guard";
}

logged_history collect_history(const std::vector<log_record>& records) {
    logged_history history;
    leadership_reader leadership;
    for (const auto& record : records) {
        const bool from_guard = is_from_guard(record);
        history.has_leader_lines =
            history.has_leader_lines || record.event == "lead-taken" ||
            (!from_guard && (record.event == "run-assigned" || record.event == "run-ended"));
        if (!from_guard) {
            leadership.read(record, history);
        }
        const auto& job = record.text("job");
        if (job.empty()) {
            continue;
        }
        if (!from_guard) {
            read_job_line(record, history.jobs[job]);
        }
        const logged_run run{record.text("task"), record.number("run").value_or(0)};
        if (record.event == "run-stopping" && !from_guard) {
            if (const auto cause = parse_stop_cause(record.text("reason"))) {
                history.stops.emplace(run, *cause);
            }
        } else if (record.event == "start-answered" && record.text("outcome") == "accepted") {
            history.starts.emplace(run, record.time);
        }
    }
    if (!records.empty()) {
        leadership.finish(records.back().time, history);
    }
    return history;
}

}  // namespace baobabrack::ctl
