#include "baobabrack/workload/job_frontend.hpp"

#include <algorithm>

#include "baobabrack/observe/json_log.hpp"

namespace baobabrack::workload {

namespace {

constexpr std::chrono::seconds least_retry_after{1};
constexpr std::chrono::seconds most_retry_after{4};

std::int64_t to_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// What the job asks for, so that its wait can be explained later.
void log_submission(const job_spec& spec) {
    std::string shapes;
    for (const auto& step : spec.steps) {
        shapes += shapes.empty() ? "" : ", ";
        shapes += std::to_string(step.tasks) + "x" +
                  std::to_string(step.per_task.accelerators.get()) + "acc/" +
                  std::to_string(step.per_task.cpu.get()) + "m/" +
                  std::to_string(step.per_task.memory.get()) + "MiB/" +
                  std::to_string(to_ms(step.estimated)) + "ms";
        shapes += step.gang ? " gang" : "";
        shapes += step.rack_local ? " rack_local" : "";
        shapes += step.checkpoints ? " checkpoints" : "";
        shapes += step.data_rack.get().empty() ? "" : " data:" + step.data_rack.get();
        shapes += step.required.get().empty() ? "" : " label:" + step.required.get();
        shapes += step.most_per_worker == 0 ? "" : " apart:" + std::to_string(step.most_per_worker);
    }
    log_event(log_level::info, "job-submitted")
        .field("job", spec.id.get())
        .field("queue", spec.queue.get())
        .field("workspace", spec.workspace.get())
        .field("priority", spec.priority)
        .field("steps", shapes)
        .field("occurrences", spec.occurrences)
        .field("chain_ms", to_ms(longest_chain(spec)))
        .field("completion_target_ms", to_ms(spec.target_completion))
        .field("slack", spec.slack_factor);
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
    : options_(opts), loop_(loop), node_(node), config_(config), metrics_(metrics) {
}

bool job_frontend::config_known() const {
    const auto confirmed = config_.confirmed();
    return confirmed && loop_.now() - *confirmed < options_.max_key_age;
}

bool job_frontend::ready() const {
    const bool others_serve = node_.peers().find_peer_with_store().has_value();
    const bool serves = node_.store_available() || !others_serve;
    return config_.current() != nullptr && config_known() && node_.is_up_to_date() && serves;
}

job_frontend::route job_frontend::find_route(const request_address& from) {
    const auto refuse = [this](reply_status status, std::string reason) {
        return route{
            .refusal = {.status = status, .reason = std::move(reason), .retry_after = come_back()}};
    };
    const auto* config = config_.current();
    if (config == nullptr) {
        return refuse(reply_status::not_now, "no configuration is known yet");
    }
    const auto* queue = config->find_queue(from.host, from.path);
    if (!config_known()) {
        return refuse(reply_status::not_now, "the configuration may be out of date");
    }
    if (queue == nullptr) {
        return refuse(reply_status::unknown_queue, "no queue has this host and path");
    }
    route found;
    found.queue = queue;
    found.path_suffix = from.path.substr(queue->path_prefix.size());
    if (const auto* workspace = config->find_workspace_by_key(from.key)) {
        found.workspace = workspace->id;
    } else if (!queue->is_public) {
        return refuse(reply_status::unknown_key, "no workspace has this key");
    }
    return found;
}

// Another scheduler can be asked at once if the store answers it. Otherwise an outage that has
// lasted for a while will last as long again, and a caller has only so many tries.
std::chrono::seconds job_frontend::come_back() const {
    if (node_.peers().find_peer_with_store()) {
        return std::chrono::seconds{0};
    }
    const auto lost = std::chrono::ceil<std::chrono::seconds>(node_.store_outage_duration());
    return std::clamp(lost, least_retry_after, most_retry_after);
}

duration job_frontend::time_for(duration deadline) const {
    const auto whole = deadline > duration::zero() ? deadline : options_.default_deadline;
    return std::max(whole - options_.deadline_margin, whole / 2);
}

void job_frontend::submit(const route& to, job_spec spec, duration deadline, reply_handler done) {
    spec.queue = to.queue->id;
    spec.workspace = to.workspace;
    spec.service = to.queue->service;
    spec.priority = to.queue->priority;
    spec.most_attempts = to.queue->max_attempts;
    spec.slack_factor = to.queue->slack_factor;
    spec.target_completion = to.queue->target_completion;
    spec.submitted = loop_.wall_now();
    const auto id = spec.id;
    if (const auto good = check(spec); !good) {
        const frontend_reply reply{.status = reply_status::invalid, .reason = good.error().message};
        answered("submit", id, reply);
        done(reply);
        return;
    }
    if (node_.jobs().find(id) != nullptr) {
        const frontend_reply reply{.reason = "the job was submitted before"};
        answered("submit", id, reply);
        done(reply);
        return;
    }
    log_submission(spec);
    const auto began = loop_.now();
    node_.submit(spec, time_for(deadline), [this, id, began, done = std::move(done)](auto receipt) {
        frontend_reply reply;
        if (receipt == intake_writer::receipt::not_stored) {
            reply = {.status = reply_status::not_now, .reason = "the store cannot be reached"};
            reply.retry_after = come_back();
        } else if (receipt == intake_writer::receipt::unknown) {
            reply = {.status = reply_status::unclear, .reason = "the store has not confirmed"};
        } else {
            metrics_
                .get_latency("baobabrack_submission_stored_seconds",
                             "From a submission's arrival until it is stored")
                .record(loop_.now() - began);
        }
        answered("submit", id, reply);
        done(reply);
    });
}

void job_frontend::cancel(const route& /*to*/, const job_id& id, duration deadline,
                          reply_handler done) {
    const auto* job = node_.jobs().find(id);
    if (job == nullptr || job->cancelled) {
        frontend_reply reply;
        if (job == nullptr) {
            const bool sure = node_.is_up_to_date();
            reply.status = sure ? reply_status::unknown_job : reply_status::not_now;
            reply.reason = sure ? "no such job" : "the stored jobs may be newer";
        }
        answered("cancel", id, reply);
        done(reply);
        return;
    }
    node_.cancel(id, time_for(deadline), [this, id, done = std::move(done)](auto receipt) {
        frontend_reply reply;
        if (receipt != intake_writer::receipt::stored) {
            reply = {.status = receipt == intake_writer::receipt::unknown ? reply_status::unclear
                                                                          : reply_status::not_now,
                     .reason = "the store has not confirmed"};
        }
        answered("cancel", id, reply);
        done(reply);
    });
}

frontend_reply job_frontend::job_state(const route& /*to*/, const job_id& id) {
    frontend_reply reply;
    if (const auto* job = node_.jobs().find(id)) {
        reply.phase = job_book::shown_phase(*job);
    } else if (node_.is_up_to_date()) {
        reply = {.status = reply_status::unknown_job, .reason = "no such job"};
    } else {
        reply = {.status = reply_status::not_now,
                 .reason = "the stored jobs may be newer",
                 .retry_after = come_back()};
    }
    if (reply.status != reply_status::accepted) {
        answered("state", id, reply);
    }
    return reply;
}

frontend_reply job_frontend::queue_state(const route& to) {
    return {.pending = node_.jobs().pending(to.queue->id)};
}

void job_frontend::answered(const std::string& call, const job_id& id,
                            const frontend_reply& reply) {
    metrics_
        .get_counter("baobabrack_calls_total", "Callers' calls by how they were answered",
                     {{"call", call}, {"answer", std::string{to_string(reply.status)}}})
        .add();
    log_event event(reply.status == reply_status::accepted ? log_level::info : log_level::warning,
                    "call-answered");
    event.field("call", call).field("job", id.get()).field("answer", to_string(reply.status));
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
