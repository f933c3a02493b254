#include "baobabrack/workload/job_frontend.hpp"

#include <algorithm>

#include "baobabrack/observe/json_log.hpp"

namespace baobabrack::workload {

namespace {

constexpr std::chrono::seconds min_retry_after{1};
constexpr std::chrono::seconds max_retry_after{4};
// A call holds memory and a request of the server's budget until its deadline.
constexpr duration max_deadline = std::chrono::seconds{60};

std::int64_t to_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Returns the steps that must be done before the step starts.
std::string dependencies_text(const step_spec& step) {
    std::string text;
    for (const auto index : step.after) {
        text += (text.empty() ? "" : "+") + std::to_string(index);
    }
    return " after:" + (text.empty() ? "none" : text);
}

// Logs the resources that the job requests, so that its waiting time can be explained later.
void log_submission(const job_spec& spec) {
    std::string step_texts;
    for (const auto& step : spec.steps) {
        step_texts += step_texts.empty() ? "" : ", ";
        step_texts += std::to_string(step.tasks) + "x" +
                      std::to_string(step.per_task.accelerators.get()) + "acc/" +
                      std::to_string(step.per_task.cpu.get()) + "m/" +
                      std::to_string(step.per_task.memory.get()) + "MiB/" +
                      std::to_string(to_ms(step.estimated)) + "ms";
        step_texts += step.gang ? " gang" : "";
        step_texts += step.rack_local ? " rack_local" : "";
        step_texts += step.checkpoints ? " checkpoints" : "";
        step_texts += step.data_rack.get().empty() ? "" : " data:" + step.data_rack.get();
        step_texts +=
            step.required_label.get().empty() ? "" : " label:" + step.required_label.get();
        step_texts +=
            step.most_per_worker == 0 ? "" : " apart:" + std::to_string(step.most_per_worker);
        step_texts += step.long_running ? " long_running" : "";
        if (&step != &spec.steps.front()) {
            step_texts += dependencies_text(step);
        }
    }
    log_event(log_level::info, "job-submitted")
        .field("job", spec.id.get())
        .field("queue", spec.queue.get())
        .field("workspace", spec.workspace.get())
        .field("priority", spec.priority)
        .field("steps", step_texts)
        .field("occurrences", spec.occurrences)
        .field("chain_ms", to_ms(critical_path_time(spec)))
        .field("completion_target_ms", to_ms(spec.target_completion))
        .field("slack", spec.slack_factor)
        .field("first_due_ms", to_ms(spec.first_due.time_since_epoch()))
        .field("interval_ms", to_ms(spec.interval));
}

frontend_reply reply_to_foreign_submission() {
    return {.status = reply_status::invalid, .reason = "the id is taken"};
}

}  // namespace

std::string_view to_string(reply_status status) {
    switch (status) {
        case reply_status::accepted:
            return "accepted";
        case reply_status::unknown_queue:
            return "unknown_queue";
        case reply_status::unknown_key:
            return "unknown_key";
        case reply_status::unknown_job:
            return "unknown_job";
        case reply_status::invalid:
            return "invalid";
        case reply_status::not_now:
            return "not_now";
        case reply_status::unclear:
            return "unclear";
    }
    return "unknown";
}

job_frontend::job_frontend(options opts, runtime& loop, scheduler_node& node,
                           const config_source& config, metrics_registry& metrics)
    : options_(opts),
      loop_(loop),
      node_(node),
      config_(config),
      metrics_(metrics),
      rejections_(loop, {.topic = "call-answered"}),
      foreign_calls_(loop, {.topic = "foreign-call"}) {
}

bool job_frontend::config_is_recent() const {
    const auto confirmed = config_.confirmed();
    return confirmed && loop_.now() - *confirmed < options_.max_key_age;
}

bool job_frontend::ready() const {
    const bool peer_has_store = node_.peers().find_peer_with_store().has_value();
    const bool store_usable = node_.store_available() || !peer_has_store;
    return config_.current() != nullptr && config_is_recent() && node_.is_up_to_date() &&
           store_usable;
}

job_frontend::route job_frontend::find_route(const request_address& request) {
    const auto refuse = [this](reply_status status, std::string reason) {
        return route{.refusal = {.status = status,
                                 .reason = std::move(reason),
                                 .retry_after = retry_delay()}};
    };
    const auto* config = config_.current();
    if (config == nullptr) {
        return refuse(reply_status::not_now, "no configuration is known yet");
    }
    const auto* queue = config->find_queue(request.host, request.path);
    if (!config_is_recent()) {
        return refuse(reply_status::not_now, "the configuration may be out of date");
    }
    if (queue == nullptr) {
        return refuse(reply_status::unknown_queue, "no queue has this host and path");
    }
    route found;
    found.queue = queue;
    found.config = config->version;
    found.path_suffix = request.path.substr(queue->path_prefix.size());
    if (const auto* workspace = config->find_workspace_by_key(request.key)) {
        found.workspace = workspace->id;
    } else if (!queue->is_public) {
        return refuse(reply_status::unknown_key, "no workspace has this key");
    }
    return found;
}

// A caller can retry at once if the store answers another scheduler. Otherwise the delay grows with
// the age of the outage, which is likely to last as long again, since callers retry only a limited
// number of times.
std::chrono::seconds job_frontend::retry_delay() const {
    if (node_.peers().find_peer_with_store()) {
        return std::chrono::seconds{0};
    }
    const auto outage = std::chrono::ceil<std::chrono::seconds>(node_.store_outage_duration());
    return std::clamp(outage, min_retry_after, max_retry_after);
}

duration job_frontend::store_timeout(duration deadline) const {
    const auto total =
        deadline > duration::zero() ? std::min(deadline, max_deadline) : options_.default_deadline;
    return std::max(total - options_.deadline_margin, total / 2);
}

void job_frontend::submit(const route& to, job_spec spec, duration deadline, reply_handler done) {
    spec.queue = to.queue->id;
    spec.workspace = to.workspace;
    if (const auto* owner = node_.workspaces().find(to.workspace, to.config)) {
        spec.owner = owner->identity;
    }
    spec.service = to.queue->service;
    spec.config = to.config;
    spec.priority = to.queue->priority;
    spec.most_attempts = to.queue->max_attempts;
    spec.slack_factor = to.queue->slack_factor;
    spec.target_completion = to.queue->target_completion;
    spec.submitted = loop_.wall_now();
    const auto id = spec.id;
    auto valid = validate(spec);
    if (valid) {
        valid = node_.check_storable(spec);
    }
    if (!valid) {
        const frontend_reply reply{.status = reply_status::invalid,
                                   .reason = valid.error().message};
        record_reply("submit", id, reply);
        done(reply);
        return;
    }
    const auto caller = to.caller();
    if (const auto* known = node_.jobs().find(id)) {
        const auto reply = reply_to_repetition(*known, caller);
        record_reply("submit", id, reply);
        done(reply);
        return;
    }
    if (!options_.memory.admits(spec, node_.jobs().memory(), unfinished_)) {
        refuse_for_memory(id, caller, std::move(done));
        return;
    }
    store(spec, caller, deadline, std::move(done));
}

// An earlier call with this id may have been stored by another scheduler, and then the refusal
// would be wrong. The submissions are therefore read to their end first.
void job_frontend::refuse_for_memory(const job_id& id, const caller_identity& caller,
                                     reply_handler done) {
    node_.refresh_jobs([this, id, caller, done = std::move(done)](bool /*complete*/) {
        frontend_reply reply{.status = reply_status::not_now,
                             .reason = "the memory for jobs is used up",
                             .retry_after = max_retry_after};
        if (const auto* known = node_.jobs().find(id)) {
            reply = reply_to_repetition(*known, caller);
        }
        record_reply("submit", id, reply);
        done(reply);
    });
}

void job_frontend::store(const job_spec& spec, const caller_identity& caller, duration deadline,
                         reply_handler done) {
    log_submission(spec);
    unfinished_.add(spec);
    const auto started = loop_.now();
    node_.submit(
        spec, store_timeout(deadline),
        [this, spec, caller, started, done = std::move(done)](auto receipt) {
            unfinished_.remove(spec);
            const auto& id = spec.id;
            frontend_reply reply;
            const auto* stored = node_.jobs().find(id);
            if (receipt == intake_writer::receipt::not_stored) {
                reply = {.status = reply_status::not_now, .reason = "the store cannot be reached"};
                reply.retry_after = retry_delay();
            } else if (receipt == intake_writer::receipt::unknown) {
                reply = {.status = reply_status::unclear, .reason = "the store has not confirmed"};
            } else if (stored != nullptr &&
                       check_call("submit", *stored, caller) != job_access::granted) {
                // Another caller's record of this id was read in the meantime, and it came first.
                reply = reply_to_foreign_submission();
            } else {
                metrics_
                    .get_latency_histogram("baobabrack_submission_stored_seconds",
                                           "From a submission's arrival until it is stored")
                    .record(loop_.now() - started);
            }
            record_reply("submit", id, reply);
            done(reply);
        });
}

// Counts and logs a call for a job of another owner.
job_access job_frontend::check_call(const std::string& call, const stored_job& job,
                                    const caller_identity& caller) {
    const auto access = check_access(job.spec, caller, node_.workspaces());
    if (access == job_access::granted) {
        return access;
    }
    metrics_
        .get_counter("baobabrack_foreign_calls_total",
                     "Calls for a job that the caller does not own", {{"call", call}})
        .add();
    if (!foreign_calls_.allow()) {
        return access;
    }
    log_event(log_level::warning, "foreign-call")
        .field("call", call)
        .field("job", job.spec.id.get())
        .field("owner", job.spec.workspace.get())
        .field("workspace", caller.workspace.get())
        .field("queue", caller.queue.get())
        .field("denied", access == job_access::denied);
    return access;
}

frontend_reply job_frontend::reply_to_repetition(const stored_job& job,
                                                 const caller_identity& caller) {
    switch (check_call("submit", job, caller)) {
        case job_access::granted:
            return {.reason = "the job was submitted before"};
        case job_access::denied:
            break;
        case job_access::undetermined:
            // The caller may own the job, so it must not be told that the job never runs.
            return {.status = reply_status::unclear, .reason = "the configuration is out of date"};
    }
    return reply_to_foreign_submission();
}

// That there is no such job is a final answer to a cancellation, so the table must be as new as the
// request: another scheduler may have accepted the job a moment ago. A job of another owner takes
// the same path, so that the time of the answer does not show that it exists.
void job_frontend::cancel(const route& to, const job_id& id, duration deadline,
                          reply_handler done) {
    const auto caller = to.caller();
    if (cancel_if_owned(id, caller, deadline, done)) {
        return;
    }
    const auto finish = [this, id, done](reply_status status, std::string reason) {
        frontend_reply reply{.status = status, .reason = std::move(reason)};
        if (status == reply_status::not_now) {
            reply.retry_after = retry_delay();
        }
        record_reply("cancel", id, reply);
        done(reply);
    };
    if (!node_.is_up_to_date()) {
        finish(reply_status::not_now, "the stored jobs may be newer");
        return;
    }
    node_.refresh_jobs([this, id, caller, deadline, done, finish](bool complete) {
        if (!complete) {
            finish(reply_status::not_now, "the stored jobs cannot be read");
            return;
        }
        if (cancel_if_owned(id, caller, deadline, done)) {
            return;
        }
        const auto* job = node_.jobs().find(id);
        if (job != nullptr && check_call("cancel", *job, caller) == job_access::undetermined) {
            finish(reply_status::not_now, "the configuration is out of date");
        } else {
            finish(reply_status::unknown_job, "no such job");
        }
    });
}

bool job_frontend::cancel_if_owned(const job_id& id, const caller_identity& caller,
                                   duration deadline, const reply_handler& done) {
    const auto* job = node_.jobs().find(id);
    if (job == nullptr ||
        check_access(job->spec, caller, node_.workspaces()) != job_access::granted) {
        return false;
    }
    cancel_known(id, deadline, done);
    return true;
}

void job_frontend::cancel_known(const job_id& id, duration deadline, reply_handler done) {
    if (node_.jobs().find(id)->cancelled) {
        const frontend_reply reply;
        record_reply("cancel", id, reply);
        done(reply);
        return;
    }
    node_.cancel(id, store_timeout(deadline), [this, id, done = std::move(done)](auto receipt) {
        frontend_reply reply;
        if (receipt != intake_writer::receipt::stored) {
            reply = {.status = receipt == intake_writer::receipt::unknown ? reply_status::unclear
                                                                          : reply_status::not_now,
                     .reason = "the store has not confirmed"};
        }
        record_reply("cancel", id, reply);
        done(reply);
    });
}

frontend_reply job_frontend::job_state(const route& to, const job_id& id) {
    frontend_reply reply;
    const auto* job = node_.jobs().find(id);
    const auto access =
        job == nullptr ? job_access::denied : check_call("state", *job, to.caller());
    if (access == job_access::granted) {
        reply.phase = job_table::visible_phase(*job);
    } else if (access == job_access::denied && node_.is_up_to_date()) {
        reply = {.status = reply_status::unknown_job, .reason = "no such job"};
    } else {
        reply = {.status = reply_status::not_now,
                 .reason = "the stored jobs may be newer",
                 .retry_after = retry_delay()};
    }
    if (reply.status != reply_status::accepted) {
        record_reply("state", id, reply);
    }
    return reply;
}

frontend_reply job_frontend::queue_state(const route& to) {
    if (!node_.is_up_to_date()) {
        const frontend_reply reply{.status = reply_status::not_now,
                                   .reason = "the stored jobs may be newer",
                                   .retry_after = retry_delay()};
        record_reply("queue", {}, reply);
        return reply;
    }
    return {.pending = node_.jobs().count_pending(to.queue->id)};
}

void job_frontend::record_reply(const std::string& call, const job_id& id,
                                const frontend_reply& reply) {
    metrics_
        .get_counter("baobabrack_calls_total", "Callers' calls by how they were answered",
                     {{"call", call}, {"answer", std::string{to_string(reply.status)}}})
        .add();
    const bool accepted = reply.status == reply_status::accepted;
    if (!accepted && !rejections_.allow()) {
        return;
    }
    log_event event(accepted ? log_level::info : log_level::warning, "call-answered");
    event.field("call", call).field("answer", to_string(reply.status));
    if (!id.get().empty()) {
        event.field("job", id.get());
    }
    if (!reply.reason.empty()) {
        event.field("reason", reply.reason);
    }
    if (const auto* config = config_.current()) {
        event.field("config_version", config->version.get());
    }
    if (const auto confirmed = config_.confirmed()) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - *confirmed);
        event.field("config_age_ms", static_cast<std::int64_t>(age.count()));
    }
}

}  // namespace baobabrack::workload
