// Appends of the leader: progress of jobs, and deletion of jobs that ended long ago.
#include <algorithm>
#include <utility>

#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload/scheduler_node.hpp"
#include "baobabrack/workload/scheduler_node_limits.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;
constexpr duration cleanup_interval = 1s;
// Wall clocks of hosts differ, and may be adjusted by some seconds.
constexpr duration clock_skew_margin = 5s;
// Limits concurrent deletions, so that other calls get their share of the store.
constexpr std::size_t max_pending_deletions = 20;
constexpr duration reduction_log_interval = 5s;

}  // namespace

void scheduler_node::flush() {
    if (writer_.busy() || !is_leader() || !parts_.empty()) {
        return;
    }
    const bool confirmation_due =
        deps_.loop.now() - writer_.last_confirmed() >= confirmation_interval;
    auto batch = scheduler_->drain_batch(confirmation_due);
    const bool batch_empty = batch.changes.empty() && batch.applied_ends.empty() &&
                             progress_deletions_.empty() && !workspaces_changed();
    if (!batch_empty || confirmation_due || resigning_) {
        write_batch(std::move(batch));
    }
}

// Divides the batch into appends that the store takes. A job whose record is too large even without
// details is given up, so that it does not keep the others from being stored.
void scheduler_node::write_batch(progress_batch batch) {
    const auto limits = deps_.log.limits();
    progress_parts parts(limits.request_bytes - leader_record_allowance);
    for (auto& change : batch.changes) {
        keyed_record record{.key = std::string{progress_prefix} + change.job.get(), .value = ""};
        record.value = encode(change, max_value_size(limits, record.key.size()));
        parts.add(std::move(change), std::move(record));
    }
    for (const auto& id : std::exchange(progress_deletions_, {})) {
        parts.add({.key = std::string{progress_prefix} + id.get(), .value = ""});
    }
    for (auto& record : guards_.drain_changes(deps_.loop.now())) {
        parts.add(std::move(record));
    }
    if (workspaces_changed()) {
        stored_workspaces_revision_ = workspaces_.revision();
        parts.add({.key = std::string{workspaces_key}, .value = workspaces_.save()});
    }
    parts_ = parts.finish(std::move(batch.applied_ends));
    write_next_part();
}

std::string scheduler_node::encode(progress_batch::change& change, std::size_t max_bytes) {
    auto encoded = encode_progress(change.progress, max_bytes);
    if (!encoded) {
        change.progress = scheduler_->give_up_unstorable(change.job, deps_.loop.wall_now());
        log_decisions();
        return to_wire(change.progress).SerializeAsString();
    }
    if (encoded->detail != progress_detail::full &&
        deps_.loop.now() - reduction_logged_ >= reduction_log_interval) {
        reduction_logged_ = deps_.loop.now();
        log_event(log_level::warning, "progress-reduced")
            .field("job", change.job.get())
            .field("stored", to_string(encoded->detail))
            .field("bytes", static_cast<std::uint64_t>(encoded->value.size()))
            .field("max_bytes", static_cast<std::uint64_t>(max_bytes));
    }
    return std::move(encoded->value);
}

void scheduler_node::write_next_part() {
    progress_part part = std::move(parts_.front());
    parts_.pop_front();
    const bool resigning = resigning_ && parts_.empty();
    part.records.push_back(make_leader_record(resigning));
    const auto first = writer_.end();
    const auto records = part.records;
    writer_.write(records, [this, part = std::move(part), first,
                            resigning](conditional_writer::outcome write_outcome) {
        if (write_outcome == conditional_writer::outcome::superseded) {
            step_down("another scheduler has stored its records first");
            return;
        }
        if (write_outcome == conditional_writer::outcome::rejected) {
            isolate_rejected(part);
            return;
        }
        handle_batch_stored(part.batch, part.records, first);
        for (const auto& id : std::exchange(rejected_jobs_, {})) {
            scheduler_->give_up_unstorable(id, deps_.loop.wall_now());
        }
        if (!parts_.empty()) {
            write_next_part();
        } else if (resigning) {
            step_down("this scheduler is stopping");
        } else {
            decide();
        }
    });
}

// The store has refused a part within its known limits. Halves the part until one job's record is
// left, and leaves that out. The job is given up once the store has taken another append, so that a
// store that refuses everything ends no job.
void scheduler_node::isolate_rejected(progress_part part) {
    part.records.pop_back();
    if (part.records.empty()) {
        step_down("the store does not take the records");
        return;
    }
    if (part.records.size() > 1) {
        auto [first, second] = halve(std::move(part));
        parts_.push_front(std::move(second));
        parts_.push_front(std::move(first));
        write_next_part();
        return;
    }
    for (const auto& change : part.batch.changes) {
        rejected_jobs_.push_back(change.job);
    }
    for (auto& waiting : parts_) {
        waiting.batch.applied_ends.clear();
    }
    scheduler_->store_ends_again();
    parts_.emplace_front();
    write_next_part();
}

void scheduler_node::handle_batch_stored(const progress_batch& batch,
                                         const std::vector<keyed_record>& records,
                                         log_offset first) {
    std::uint64_t offset = first.get();
    for (const auto& record : records) {
        if (record.key != leader_key) {
            jobs_.apply_progress(record.key, record.value, log_offset{offset});
        }
        ++offset;
    }
    scheduler_->mark_stored(batch);
}

// Deletes jobs that ended longer ago than the retention time. The submission is deleted first,
// since a submission without progress would run again; the progress is deleted with a later batch.
void scheduler_node::delete_expired_jobs() {
    const auto now = deps_.loop.now();
    if (now - last_cleanup_ < cleanup_interval || !leadership_confirmed()) {
        return;
    }
    last_cleanup_ = now;
    const auto retention = options_.status_retention + clock_skew_margin;
    const auto cutoff =
        deps_.loop.wall_now() - std::chrono::duration_cast<std::chrono::milliseconds>(retention);
    for (const auto& id : jobs_.ended_before(cutoff)) {
        if (pending_deletions_.size() < max_pending_deletions &&
            pending_deletions_.insert(id).second) {
            delete_job(id);
        }
    }
}

void scheduler_node::delete_job(const job_id& id) {
    const std::vector<keyed_record> records{
        {.key = std::string{submission_prefix} + id.get(), .value = ""},
        {.key = std::string{cancel_prefix} + id.get(), .value = ""}};
    deps_.log.append({.topic = intake_topic, .records = records, .expected_end = std::nullopt},
                     [this, id, records,
                      alive = std::weak_ptr<bool>(alive_)](const result<append_reply>& reply) {
                         if (alive.expired()) {
                             return;
                         }
                         pending_deletions_.erase(id);
                         if (!reply) {
                             return;
                         }
                         auto offset = reply.value().first.get();
                         for (const auto& record : records) {
                             jobs_.apply_intake(record.key, record.value, log_offset{offset++});
                         }
                         progress_deletions_.push_back(id);
                     });
}

}  // namespace baobabrack::workload
