#include "fakes/fake_worker.hpp"

#include <algorithm>
#include <sstream>

namespace baobabrack::fakes {

namespace {

constexpr std::uint32_t full_speed_percent = 100;

std::chrono::milliseconds to_ms(std::chrono::microseconds time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

}  // namespace

task_command task_command::parse(const std::string& text) {
    task_command parsed;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ';');) {
        const auto equals = part.find('=');
        const auto name = part.substr(0, equals);
        const auto value = equals == std::string::npos ? 0 : std::stoll(part.substr(equals + 1));
        if (name == "run_ms") {
            parsed.run_time = std::chrono::milliseconds{value};
        } else if (name == "fail" || name == "fail_at_ms") {
            parsed.fail_at = std::chrono::milliseconds{value};
        }
    }
    return parsed;
}

fake_worker::fake_worker(runtime& loop, wire::WorkerFacts facts, options opts)
    : loop_(loop), facts_(std::move(facts)), options_(opts), timer_(loop) {
}

wire::WorkerReply fake_worker::handle(const wire::WorkerCall& call) {
    advance_tasks();
    wire::WorkerReply reply;
    reply.set_worker_incarnation(facts_.incarnation());
    if (call.worker_incarnation() != 0 && call.worker_incarnation() != facts_.incarnation()) {
        reply.set_status(wire::WORKER_WRONG_INCARNATION);
        return reply;
    }
    auto status = wire::WORKER_MALFORMED;
    switch (call.kind_case()) {
        case wire::WorkerCall::kPrepare:
            status = prepare(call.prepare());
            break;
        case wire::WorkerCall::kStart:
            status = start(call.start());
            break;
        case wire::WorkerCall::kCheckpoint:
            status = checkpoint(call.checkpoint(), reply);
            break;
        case wire::WorkerCall::kStop:
            status = stop(call.stop(), reply);
            break;
        case wire::WorkerCall::kThrottle:
            status = throttle(call.throttle());
            break;
        case wire::WorkerCall::kSync:
            status = sync(call.sync(), reply);
            break;
        default:
            break;
    }
    reply.set_status(status);
    arm_timer();
    return reply;
}

void fake_worker::pause() {
    advance_tasks();
    paused_ = true;
    timer_.cancel();
}

void fake_worker::resume() {
    if (!paused_) {
        return;
    }
    paused_ = false;
    for (auto& [id, task] : tasks_) {
        task.progress_at = loop_.now();
    }
    advance_tasks();
    arm_timer();
}

std::vector<held_task> fake_worker::held() const {
    std::vector<held_task> tasks;
    for (const auto& [id, task] : tasks_) {
        tasks.push_back({.job = job_id{id.first},
                         .attempt = attempt_number{id.second},
                         .size = task.size,
                         .running = task.phase == wire::TASK_RUNNING});
    }
    return tasks;
}

wire::WorkerStatus fake_worker::prepare(const wire::PrepareTask& call) {
    if (is_fenced(call.task())) {
        return wire::WORKER_STALE_TOKEN;
    }
    const task_key id{call.task().job(), call.task().attempt()};
    const auto expires = loop_.now() + std::chrono::milliseconds{call.lease_ms()};
    const auto size = from_wire(call.resources());
    if (const auto found = tasks_.find(id); found != tasks_.end()) {
        if (found->second.size != size) {
            // Another entry has planned the same attempt with other resources.
            return wire::WORKER_NO_CAPACITY;
        }
        found->second.expires = std::max(found->second.expires, expires);
        return wire::WORKER_OK;
    }
    if (!options_.ignore_capacity && !free_capacity().can_fit(size)) {
        return wire::WORKER_NO_CAPACITY;
    }
    tasks_[id] = task_state{.size = size, .expires = expires, .progress_at = loop_.now()};
    return wire::WORKER_OK;
}

wire::WorkerStatus fake_worker::start(const wire::StartTask& call) {
    if (is_fenced(call.task())) {
        return wire::WORKER_STALE_TOKEN;
    }
    const task_key id{call.task().job(), call.task().attempt()};
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) {
        return wire::WORKER_UNKNOWN_TASK;
    }
    auto& task = found->second;
    if (task.size != from_wire(call.resources())) {
        return wire::WORKER_UNKNOWN_TASK;
    }
    auto& highest = highest_tokens_[id.first];
    if (call.token() < highest && !options_.ignore_fences) {
        return wire::WORKER_STALE_TOKEN;
    }
    highest = std::max(highest, call.token());
    task.expires = loop_.now() + std::chrono::milliseconds{call.lease_ms()};
    if (task.phase == wire::TASK_RUNNING) {
        return wire::WORKER_OK;
    }
    task.phase = wire::TASK_RUNNING;
    task.token = call.token();
    task.command = task_command::parse(call.command());
    task.progress = std::chrono::milliseconds{call.resume_from_ms()};
    task.checkpoint = std::chrono::milliseconds{call.resume_from_ms()};
    task.progress_at = loop_.now();
    if (fail_all_tasks_) {
        task.command.fail_at = std::chrono::milliseconds{};
    }
    report(id, task, "");
    return wire::WORKER_OK;
}

wire::WorkerStatus fake_worker::checkpoint(const wire::CheckpointTask& call,
                                           wire::WorkerReply& reply) {
    const task_key id{call.task().job(), call.task().attempt()};
    const auto found = tasks_.find(id);
    if (found == tasks_.end() || found->second.phase != wire::TASK_RUNNING) {
        return wire::WORKER_UNKNOWN_TASK;
    }
    found->second.checkpoint = to_ms(found->second.progress);
    report(id, found->second, "");
    *reply.add_reports() = reports_.at(id);
    return wire::WORKER_OK;
}

wire::WorkerStatus fake_worker::stop(const wire::StopTask& call, wire::WorkerReply& reply) {
    const task_key id{call.task().job(), call.task().attempt()};
    auto& fence = highest_fenced_attempts_[id.first];
    fence = std::max(fence, id.second);
    const bool is_known = tasks_.count(id) != 0;
    if (is_known) {
        end_task(id, wire::TASK_STOPPED, "stopped");
    }
    if (const auto last = reports_.find(id); last != reports_.end()) {
        *reply.add_reports() = last->second;
    }
    return is_known ? wire::WORKER_OK : wire::WORKER_UNKNOWN_TASK;
}

wire::WorkerStatus fake_worker::throttle(const wire::ThrottleTask& call) {
    const auto found = tasks_.find({call.task().job(), call.task().attempt()});
    if (found == tasks_.end()) {
        return wire::WORKER_UNKNOWN_TASK;
    }
    found->second.percent = std::clamp(call.percent(), 1U, full_speed_percent);
    return wire::WORKER_OK;
}

wire::WorkerStatus fake_worker::sync(const wire::SyncWorker& call, wire::WorkerReply& reply) {
    for (const auto& renewal : call.renewals()) {
        const auto found = tasks_.find({renewal.task().job(), renewal.task().attempt()});
        if (found == tasks_.end() || found->second.phase != wire::TASK_RUNNING ||
            found->second.token != renewal.token()) {
            continue;
        }
        const auto expires = loop_.now() + std::chrono::milliseconds{renewal.lease_ms()};
        found->second.expires = std::max(found->second.expires, expires);
    }
    for (auto next = reports_.begin(); next != reports_.end();) {
        const bool acknowledged = next->second.sequence() <= call.acknowledged();
        next = acknowledged ? reports_.erase(next) : std::next(next);
    }
    for (auto& [id, task] : tasks_) {
        if (task.phase == wire::TASK_RUNNING &&
            loop_.now() - task.last_reported >= options_.usage_lag) {
            report(id, task, "");
        }
        auto& held = *reply.add_held();
        held.set_job(id.first);
        held.set_attempt(id.second);
    }
    for (const auto& [id, report] : reports_) {
        *reply.add_reports() = report;
    }
    return wire::WORKER_OK;
}

bool fake_worker::is_fenced(const wire::TaskKey& task) const {
    if (options_.ignore_fences) {
        return false;
    }
    const auto found = highest_fenced_attempts_.find(task.job());
    return found != highest_fenced_attempts_.end() && task.attempt() <= found->second;
}

resources fake_worker::free_capacity() const {
    auto free = from_wire(facts_.capacity());
    for (const auto& [id, task] : tasks_) {
        free.subtract(task.size);
    }
    return free;
}

void fake_worker::advance_tasks() {
    if (paused_) {
        return;
    }
    std::vector<std::pair<task_key, wire::TaskPhase>> ends;
    for (auto& [id, task] : tasks_) {
        update_progress(task);
        const bool runs = task.phase == wire::TASK_RUNNING;
        if (loop_.now() >= task.expires && !options_.ignore_leases) {
            ends.emplace_back(id, wire::TASK_LEASE_LAPSED);
        } else if (runs && task.command.fail_at && task.progress >= *task.command.fail_at) {
            ends.emplace_back(id, wire::TASK_FAILED);
        } else if (runs && task.progress >= task.command.run_time) {
            ends.emplace_back(id, wire::TASK_FINISHED);
        }
    }
    for (const auto& [id, phase] : ends) {
        end_task(id, phase, phase == wire::TASK_FAILED ? "exit code 1" : "");
    }
}

void fake_worker::update_progress(task_state& task) {
    if (task.phase == wire::TASK_RUNNING) {
        const auto until =
            options_.ignore_leases ? loop_.now() : std::min(loop_.now(), task.expires);
        const auto span = std::max(until - task.progress_at, duration::zero());
        task.progress += span * task.percent / full_speed_percent;
    }
    task.progress_at = loop_.now();
}

void fake_worker::report(const task_key& key, task_state& task, const std::string& message) {
    auto& task_report = reports_[key];
    task_report.set_sequence(++sequence_);
    task_report.mutable_task()->set_job(key.first);
    task_report.mutable_task()->set_attempt(key.second);
    task_report.set_phase(task.phase);
    task_report.set_progress_ms(static_cast<std::uint64_t>(to_ms(task.progress).count()));
    task_report.set_checkpoint_ms(static_cast<std::uint64_t>(task.checkpoint.count()));
    task_report.set_message(message);
    // Usage lags behind: the first report of a task has none.
    if (task.last_reported != time_point{}) {
        auto used = task.size;
        used.cpu = cpu_millicores{used.cpu.get() * options_.usage_percent / full_speed_percent};
        used.memory = memory_mib{used.memory.get() * options_.usage_percent / full_speed_percent};
        *task_report.mutable_usage() = to_wire(used);
    }
    task.last_reported = loop_.now();
}

void fake_worker::end_task(const task_key& key, wire::TaskPhase phase, const std::string& message) {
    auto& task = tasks_.at(key);
    task.phase = phase;
    report(key, task, message);
    tasks_.erase(key);
    if (phase == wire::TASK_FINISHED && on_finished) {
        on_finished(job_id{key.first}, attempt_number{key.second});
    }
}

std::optional<time_point> fake_worker::next_event(const task_state& task) const {
    auto next = options_.ignore_leases ? time_point::max() : task.expires;
    if (task.phase == wire::TASK_RUNNING) {
        auto end_progress = std::chrono::microseconds{task.command.run_time};
        if (task.command.fail_at) {
            end_progress = std::min(end_progress, std::chrono::microseconds{*task.command.fail_at});
        }
        const auto remaining = std::max(end_progress - task.progress, duration::zero());
        next = std::min(next, loop_.now() + remaining * full_speed_percent / task.percent);
    }
    return next == time_point::max() ? std::nullopt : std::optional{next};
}

void fake_worker::arm_timer() {
    std::optional<time_point> next;
    for (const auto& [id, task] : tasks_) {
        const auto event = next_event(task);
        if (event && (!next || *event < *next)) {
            next = event;
        }
    }
    if (paused_ || !next) {
        timer_.cancel();
        return;
    }
    // Progress is rounded down, so a task may still be slightly short of its end at `next`; a delay
    // of at least one tick lets it get there.
    const auto delay = std::max(*next - loop_.now(), duration{1});
    timer_.arm(delay, [this] {
        advance_tasks();
        arm_timer();
    });
}

}  // namespace baobabrack::fakes
