#include "baobabrack/workload/front_desk.hpp"

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

std::string_view to_string(desk_answer answer) {
    switch (answer) {
        case desk_answer::accepted:
            return "accepted";
        case desk_answer::unknown_queue:
            return "unknown_queue";
        case desk_answer::unknown_key:
            return "unknown_key";
        case desk_answer::unknown_job:
            return "unknown_job";
        case desk_answer::invalid:
            return "invalid";
        case desk_answer::not_now:
            return "not_now";
        case desk_answer::unclear:
            return "unclear";
    }
    return "unknown";
}

front_desk::front_desk(options opts, runtime& loop, scheduler_node& node,
                       const directory_source& config, metrics_registry& metrics)
    : options_(opts), loop_(loop), node_(node), config_(config), metrics_(metrics) {
}

bool front_desk::config_known() const {
    const auto confirmed = config_.confirmed();
    return confirmed && loop_.now() - *confirmed < options_.key_limit;
}

bool front_desk::ready() const {
    const bool others_serve = node_.peers().find_with_store().has_value();
    const bool serves = node_.store_answers() || !others_serve;
    return config_.current() != nullptr && config_known() && node_.fresh() && serves;
}

front_desk::route front_desk::find_route(const caller_address& from) {
    const auto refuse = [this](desk_answer answer, std::string reason) {
        return route{
            .refusal = {.answer = answer, .reason = std::move(reason), .retry_after = come_back()}};
    };
    const auto* config = config_.current();
    if (config == nullptr) {
        return refuse(desk_answer::not_now, "no configuration is known yet");
    }
    const auto* queue = config->find_queue(from.host, from.path);
    if (!config_known()) {
        return refuse(desk_answer::not_now, "the configuration may be out of date");
    }
    if (queue == nullptr) {
        return refuse(desk_answer::unknown_queue, "no queue has this host and path");
    }
    route found;
    found.queue = queue;
    found.rest = from.path.substr(queue->path_prefix.size());
    if (const auto* workspace = config->find_key(from.key)) {
        found.workspace = workspace->id;
    } else if (!queue->is_public) {
        return refuse(desk_answer::unknown_key, "no workspace has this key");
    }
    return found;
}

// Another scheduler can be asked at once if the store answers it. Otherwise an outage that has
// lasted for a while will last as long again, and a caller has only so many tries.
std::chrono::seconds front_desk::come_back() const {
    if (node_.peers().find_with_store()) {
        return std::chrono::seconds{0};
    }
    const auto lost = std::chrono::ceil<std::chrono::seconds>(node_.store_lost_for());
    return std::clamp(lost, least_retry_after, most_retry_after);
}

duration front_desk::time_for(duration deadline) const {
    const auto whole = deadline > duration::zero() ? deadline : options_.default_deadline;
    return std::max(whole - options_.deadline_margin, whole / 2);
}

void front_desk::submit(const route& to, job_spec spec, duration deadline, reply_handler done) {
    spec.queue = to.queue->id;
    spec.workspace = to.workspace;
    spec.service = to.queue->service;
    spec.priority = to.queue->priority;
    spec.most_attempts = to.queue->most_attempts;
    spec.slack_factor = to.queue->slack_factor;
    spec.target_completion = to.queue->target_completion;
    spec.submitted = loop_.wall_now();
    const auto id = spec.id;
    if (const auto good = check(spec); !good) {
        const desk_reply reply{.answer = desk_answer::invalid, .reason = good.error().message};
        answered("submit", id, reply);
        done(reply);
        return;
    }
    if (node_.book().find(id) != nullptr) {
        const desk_reply reply{.reason = "the job was submitted before"};
        answered("submit", id, reply);
        done(reply);
        return;
    }
    log_submission(spec);
    const auto began = loop_.now();
    node_.submit(spec, time_for(deadline), [this, id, began, done = std::move(done)](auto receipt) {
        desk_reply reply;
        if (receipt == intake_writer::receipt::not_stored) {
            reply = {.answer = desk_answer::not_now, .reason = "the store cannot be reached"};
            reply.retry_after = come_back();
        } else if (receipt == intake_writer::receipt::unknown) {
            reply = {.answer = desk_answer::unclear, .reason = "the store has not confirmed"};
        } else {
            metrics_
                .get_latency_histogram("baobabrack_submission_stored_seconds",
                                       "From a submission's arrival until it is stored")
                .record(loop_.now() - began);
        }
        answered("submit", id, reply);
        done(reply);
    });
}

void front_desk::cancel(const route& /*to*/, const job_id& id, duration deadline,
                        reply_handler done) {
    const auto* job = node_.book().find(id);
    if (job == nullptr || job->cancelled) {
        desk_reply reply;
        if (job == nullptr) {
            const bool sure = node_.fresh();
            reply.answer = sure ? desk_answer::unknown_job : desk_answer::not_now;
            reply.reason = sure ? "no such job" : "the stored jobs may be newer";
        }
        answered("cancel", id, reply);
        done(reply);
        return;
    }
    node_.cancel(id, time_for(deadline), [this, id, done = std::move(done)](auto receipt) {
        desk_reply reply;
        if (receipt != intake_writer::receipt::stored) {
            reply = {.answer = receipt == intake_writer::receipt::unknown ? desk_answer::unclear
                                                                          : desk_answer::not_now,
                     .reason = "the store has not confirmed"};
        }
        answered("cancel", id, reply);
        done(reply);
    });
}

desk_reply front_desk::state(const route& /*to*/, const job_id& id) {
    desk_reply reply;
    if (const auto* job = node_.book().find(id)) {
        reply.phase = job_book::shown_phase(*job);
    } else if (node_.fresh()) {
        reply = {.answer = desk_answer::unknown_job, .reason = "no such job"};
    } else {
        reply = {.answer = desk_answer::not_now,
                 .reason = "the stored jobs may be newer",
                 .retry_after = come_back()};
    }
    if (reply.answer != desk_answer::accepted) {
        answered("state", id, reply);
    }
    return reply;
}

desk_reply front_desk::queue_state(const route& to) {
    return {.pending = node_.book().pending(to.queue->id)};
}

void front_desk::answered(const std::string& call, const job_id& id, const desk_reply& reply) {
    metrics_
        .get_counter("baobabrack_calls_total", "Callers' calls by how they were answered",
                     {{"call", call}, {"answer", std::string{to_string(reply.answer)}}})
        .add();
    log_event event(reply.answer == desk_answer::accepted ? log_level::info : log_level::warning,
                    "call-answered");
    event.field("call", call).field("job", id.get()).field("answer", to_string(reply.answer));
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
