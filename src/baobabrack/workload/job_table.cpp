#include "baobabrack/workload/job_table.hpp"

#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/record_times.hpp"

namespace baobabrack::workload {

namespace {

job_id id_from_key(std::string_view key, std::string_view prefix) {
    return job_id{std::string{key.substr(prefix.size())}};
}

template <typename Message>
bool parse(Message& message, std::string_view value) {
    return message.ParseFromArray(value.data(), static_cast<int>(value.size()));
}

}  // namespace

job_id job_table::apply_intake(std::string_view key, std::string_view value, log_offset offset) {
    if (!is_newer(key, offset, value.empty())) {
        return {};
    }
    if (key.starts_with(submission_prefix)) {
        return apply_submission(id_from_key(key, submission_prefix), value);
    }
    if (key.starts_with(cancel_prefix)) {
        return apply_cancel(id_from_key(key, cancel_prefix), value);
    }
    ++unreadable_records_;
    return {};
}

job_id job_table::apply_submission(const job_id& id, std::string_view value) {
    if (value.empty()) {
        if (const auto removed = jobs_.extract(id); !removed.empty()) {
            memory_.remove(removed.mapped().spec);
        }
        return {};
    }
    // The first submission takes effect; later ones for the same id are repetitions.
    if (jobs_.contains(id)) {
        return {};
    }
    wire::WorkloadSubmission record;
    if (!parse(record, value)) {
        ++unreadable_records_;
        return {};
    }
    auto spec = from_wire(record);
    if (!spec || spec.value().id != id) {
        ++unreadable_records_;
        return {};
    }
    auto& job = jobs_[id];
    job.spec = std::move(spec.value());
    memory_.add(job.spec);
    job.cancelled = unmatched_cancels_.erase(id) > 0;
    if (const auto progress = unmatched_progress_.extract(id); !progress.empty()) {
        update_progress(job, progress.mapped());
    }
    return id;
}

job_id job_table::apply_cancel(const job_id& id, std::string_view value) {
    if (value.empty()) {
        unmatched_cancels_.erase(id);
        return {};
    }
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        unmatched_cancels_[id] = true;
        return {};
    }
    found->second.cancelled = true;
    return id;
}

void job_table::apply_progress(std::string_view key, std::string_view value, log_offset offset) {
    if (!key.starts_with(progress_prefix) || !is_newer(key, offset, value.empty())) {
        return;
    }
    const auto id = id_from_key(key, progress_prefix);
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        update_progress(found->second, value);
    } else if (value.empty()) {
        unmatched_progress_.erase(id);
    } else {
        unmatched_progress_[id] = std::string{value};
    }
}

std::vector<job_id> job_table::ended_before(wall_time time) const {
    std::vector<job_id> found;
    for (const auto& [id, job] : jobs_) {
        if (has_ended(job.progress.phase) && job.progress.ended < time) {
            found.push_back(id);
        }
    }
    for (const auto& [id, value] : unmatched_progress_) {
        wire::WorkloadProgress record;
        const bool ended = parse(record, value) && record.ended_unix_ms() > 0;
        if (ended && wall_time_from_record(record.ended_unix_ms()) < time) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<job_id> job_table::jobs_without_submission() const {
    std::vector<job_id> found;
    for (const auto& [id, value] : unmatched_progress_) {
        wire::WorkloadProgress record;
        if (parse(record, value) && record.ended_unix_ms() == 0) {
            found.push_back(id);
        }
    }
    return found;
}

void job_table::update_progress(stored_job& job, std::string_view value) {
    wire::WorkloadProgress record;
    if (value.empty()) {
        return;
    }
    // An unknown state comes from another writer or a newer version, and would end or reopen the
    // job.
    if (!parse(record, value) || !wire::WorkloadProgress::State_IsValid(record.state())) {
        ++unreadable_records_;
        return;
    }
    job.progress = from_wire(job.spec, record);
}

bool job_table::is_newer(std::string_view key, log_offset offset, bool deleted) {
    const auto found = latest_offsets_.find(key);
    if (found == latest_offsets_.end()) {
        if (!deleted) {
            latest_offsets_.emplace(key, offset);
        }
        return true;
    }
    if (found->second >= offset) {
        return false;
    }
    if (deleted) {
        latest_offsets_.erase(found);
    } else {
        found->second = offset;
    }
    return true;
}

const stored_job* job_table::find(const job_id& id) const {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

job_phase job_table::visible_phase(const stored_job& job) {
    if (job.cancelled && !has_ended(job.progress.phase)) {
        return job_phase::cancelled;
    }
    return job.progress.phase;
}

std::uint64_t job_table::count_pending(const queue_id& queue) const {
    std::uint64_t count = 0;
    for (const auto& [id, job] : jobs_) {
        const bool pending =
            !has_ended(visible_phase(job)) && !job.progress.begun && job.spec.occurrences == 0;
        count += pending && job.spec.queue == queue ? 1 : 0;
    }
    return count;
}

}  // namespace baobabrack::workload
