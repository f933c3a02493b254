#include "fakes/fake_worker.hpp"

#include <algorithm>
#include <sstream>

namespace baobabrack::fakes {

namespace {

constexpr std::uint32_t full_speed_percent = 100;

std::chrono::milliseconds whole_ms(std::chrono::microseconds time) {
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
            parsed.run = std::chrono::milliseconds{value};
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
    run_clock();
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
    arm();
    return reply;
}

void fake_worker::pause() {
    run_clock();
    paused_ = true;
    timer_.cancel();
}

void fake_worker::wake() {
    if (!paused_) {
        return;
    }
    paused_ = false;
    for (auto& [id, one] : tasks_) {
        one.counted = loop_.now();
    }
    run_clock();
    arm();
}

std::vector<held_task> fake_worker::held() const {
    std::vector<held_task> all;
    for (const auto& [id, one] : tasks_) {
        all.push_back({.job = job_id{id.first},
                       .attempt = attempt_number{id.second},
                       .size = one.size,
                       .running = one.phase == wire::TASK_RUNNING});
    }
    return all;
}

wire::WorkerStatus fake_worker::prepare(const wire::PrepareTask& call) {
    if (is_fenced(call.task())) {
        return wire::WORKER_STALE_TOKEN;
    }
    const key id{call.task().job(), call.task().attempt()};
    const auto expires = loop_.now() + std::chrono::milliseconds{call.lease_ms()};
    const auto size = from_wire(call.resources());
    if (const auto known = tasks_.find(id); known != tasks_.end()) {
        if (known->second.size != size) {
            // Another entry's plan for the same attempt.
            return wire::WORKER_NO_CAPACITY;
        }
        known->second.expires = std::max(known->second.expires, expires);
        return wire::WORKER_OK;
    }
    if (!options_.ignore_capacity && !free().can_fit(size)) {
        return wire::WORKER_NO_CAPACITY;
    }
    tasks_[id] = task{.size = size, .expires = expires, .counted = loop_.now()};
    return wire::WORKER_OK;
}

wire::WorkerStatus fake_worker::start(const wire::StartTask& call) {
    if (is_fenced(call.task())) {
        return wire::WORKER_STALE_TOKEN;
    }
    const key id{call.task().job(), call.task().attempt()};
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) {
        return wire::WORKER_UNKNOWN_TASK;
    }
    auto& starting = found->second;
    if (starting.size != from_wire(call.resources())) {
        return wire::WORKER_UNKNOWN_TASK;
    }
    auto& highest = tokens_[id.first];
    if (call.token() < highest && !options_.ignore_fences) {
        return wire::WORKER_STALE_TOKEN;
    }
    highest = std::max(highest, call.token());
    starting.expires = loop_.now() + std::chrono::milliseconds{call.lease_ms()};
    if (starting.phase == wire::TASK_RUNNING) {
        return wire::WORKER_OK;
    }
    starting.phase = wire::TASK_RUNNING;
    starting.token = call.token();
    starting.command = task_command::parse(call.command());
    starting.progress = std::chrono::milliseconds{call.resume_from_ms()};
    starting.checkpoint = std::chrono::milliseconds{call.resume_from_ms()};
    starting.counted = loop_.now();
    if (fail_everything_) {
        starting.command.fail_at = std::chrono::milliseconds{};
    }
    report(id, starting, "");
    return wire::WORKER_OK;
}

wire::WorkerStatus fake_worker::checkpoint(const wire::CheckpointTask& call,
                                           wire::WorkerReply& reply) {
    const key id{call.task().job(), call.task().attempt()};
    const auto found = tasks_.find(id);
    if (found == tasks_.end() || found->second.phase != wire::TASK_RUNNING) {
        return wire::WORKER_UNKNOWN_TASK;
    }
    found->second.checkpoint = whole_ms(found->second.progress);
    report(id, found->second, "");
    *reply.add_reports() = reports_.at(id);
    return wire::WORKER_OK;
}

wire::WorkerStatus fake_worker::stop(const wire::StopTask& call, wire::WorkerReply& reply) {
    const key id{call.task().job(), call.task().attempt()};
    auto& fence = fenced_[id.first];
    fence = std::max(fence, id.second);
    const bool known = tasks_.count(id) != 0;
    if (known) {
        end(id, wire::TASK_STOPPED, "stopped");
    }
    if (const auto last = reports_.find(id); last != reports_.end()) {
        *reply.add_reports() = last->second;
    }
    return known ? wire::WORKER_OK : wire::WORKER_UNKNOWN_TASK;
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
        const bool forgotten = next->second.sequence() <= call.acknowledged();
        next = forgotten ? reports_.erase(next) : std::next(next);
    }
    for (auto& [id, one] : tasks_) {
        if (one.phase == wire::TASK_RUNNING && loop_.now() - one.reported >= options_.usage_lag) {
            report(id, one, "");
        }
        auto& held = *reply.add_held();
        held.set_job(id.first);
        held.set_attempt(id.second);
    }
    for (const auto& [id, one] : reports_) {
        *reply.add_reports() = one;
    }
    return wire::WORKER_OK;
}

bool fake_worker::is_fenced(const wire::TaskKey& named) const {
    if (options_.ignore_fences) {
        return false;
    }
    const auto found = fenced_.find(named.job());
    return found != fenced_.end() && named.attempt() <= found->second;
}

resources fake_worker::free() const {
    auto left = from_wire(facts_.capacity());
    for (const auto& [id, one] : tasks_) {
        left.subtract(one.size);
    }
    return left;
}

void fake_worker::run_clock() {
    if (paused_) {
        return;
    }
    std::vector<std::pair<key, wire::TaskPhase>> ends;
    for (auto& [id, one] : tasks_) {
        count(one);
        const bool runs = one.phase == wire::TASK_RUNNING;
        if (loop_.now() >= one.expires && !options_.ignore_leases) {
            ends.emplace_back(id, wire::TASK_LEASE_LAPSED);
        } else if (runs && one.command.fail_at && one.progress >= *one.command.fail_at) {
            ends.emplace_back(id, wire::TASK_FAILED);
        } else if (runs && one.progress >= one.command.run) {
            ends.emplace_back(id, wire::TASK_FINISHED);
        }
    }
    for (const auto& [id, phase] : ends) {
        end(id, phase, phase == wire::TASK_FAILED ? "exit code 1" : "");
    }
}

void fake_worker::count(task& counted) {
    if (counted.phase == wire::TASK_RUNNING) {
        const auto until =
            options_.ignore_leases ? loop_.now() : std::min(loop_.now(), counted.expires);
        const auto span = std::max(until - counted.counted, duration::zero());
        counted.progress += span * counted.percent / full_speed_percent;
    }
    counted.counted = loop_.now();
}

void fake_worker::report(const key& of, task& about, const std::string& message) {
    auto& written = reports_[of];
    written.set_sequence(++sequence_);
    written.mutable_task()->set_job(of.first);
    written.mutable_task()->set_attempt(of.second);
    written.set_phase(about.phase);
    written.set_progress_ms(static_cast<std::uint64_t>(whole_ms(about.progress).count()));
    written.set_checkpoint_ms(static_cast<std::uint64_t>(about.checkpoint.count()));
    written.set_message(message);
    // Usage lags: the first report of a running task has none.
    if (about.reported != time_point{}) {
        auto used = about.size;
        used.cpu = cpu_millicores{used.cpu.get() * options_.usage_percent / full_speed_percent};
        used.memory = memory_mib{used.memory.get() * options_.usage_percent / full_speed_percent};
        *written.mutable_usage() = to_wire(used);
    }
    about.reported = loop_.now();
}

void fake_worker::end(const key& of, wire::TaskPhase phase, const std::string& message) {
    auto& ending = tasks_.at(of);
    ending.phase = phase;
    report(of, ending, message);
    tasks_.erase(of);
    if (phase == wire::TASK_FINISHED && on_finished) {
        on_finished(job_id{of.first}, attempt_number{of.second});
    }
}

std::optional<time_point> fake_worker::next_event(const task& of) const {
    auto next = options_.ignore_leases ? time_point::max() : of.expires;
    if (of.phase == wire::TASK_RUNNING) {
        auto goal = std::chrono::microseconds{of.command.run};
        if (of.command.fail_at) {
            goal = std::min(goal, std::chrono::microseconds{*of.command.fail_at});
        }
        const auto left = std::max(goal - of.progress, duration::zero());
        next = std::min(next, loop_.now() + left * full_speed_percent / of.percent);
    }
    return next == time_point::max() ? std::nullopt : std::optional{next};
}

void fake_worker::arm() {
    std::optional<time_point> next;
    for (const auto& [id, one] : tasks_) {
        const auto event = next_event(one);
        if (event && (!next || *event < *next)) {
            next = event;
        }
    }
    if (paused_ || !next) {
        timer_.cancel();
        return;
    }
    // Rounding down of progress may leave a task a little short of its goal.
    const auto delay = std::max(*next - loop_.now(), duration{1});
    timer_.arm(delay, [this] {
        run_clock();
        arm();
    });
}

}  // namespace baobabrack::fakes
