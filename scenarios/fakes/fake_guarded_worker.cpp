#include "fakes/fake_guarded_worker.hpp"

#include <algorithm>

namespace baobabrack::fakes {

namespace {

using namespace std::chrono_literals;
using workload::call_end;
using workload::end_kind;

constexpr duration call_delay = 1ms;
constexpr duration look_step = 10ms;
constexpr duration lease_step = 20ms;
constexpr std::uint64_t latest_call_ms = 6000;
constexpr std::uint32_t whole_percent = 100;
constexpr double share_scale = 1e6;

}  // namespace

fake_guarded_worker::fake_guarded_worker(options opts, runtime& loop, run_listener& listener)
    : options_(std::move(opts)), loop_(loop), listener_(listener), born_(loop.now()) {
    watch_lease();
}

workload::worker_clock fake_guarded_worker::clock() const {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - born_);
    // A fiftieth slow, as a worker's clock may be.
    return workload::worker_clock{age.count() * 49 / 50};
}

workload::worker_facts fake_guarded_worker::facts() const {
    return {.life = {.host = options_.host,
                     .worker = worker_id{"w-" + options_.host.get()},
                     .life = incarnation{life_}},
            .service = service_id{"service"},
            .data_centre = data_centre_id{"dc"},
            .rack = options_.rack,
            .labels = {workload::label{"a"}, workload::label{options_.rack.get()}},
            .capacity = options_.capacity,
            .draining = draining};
}

void fake_guarded_worker::crash() {
    for (const auto& [key, run] : runs_) {
        listener_.run_over(key.first, key.second, std::nullopt);
    }
    runs_.clear();
    over_.clear();
    ends_.clear();
    ends_made_ = 0;
    highest_token_ = {};
    lease_ms_ = 0;
    born_ = loop_.now();
    ++life_;
}

bool fake_guarded_worker::fenced(workload::fencing_token token) {
    if (token < highest_token_) {
        return true;
    }
    highest_token_ = token;
    return false;
}

void fake_guarded_worker::extend(const std::optional<workload::worker_clock>& lease) {
    if (lease) {
        lease_ms_ = std::max(lease_ms_, lease->get());
    }
}

void fake_guarded_worker::watch_lease() {
    loop_.schedule(lease_step, [this] { watch_lease(); });
    if (clock().get() < lease_ms_) {
        return;
    }
    const auto all = runs_;
    for (const auto& [key, run] : all) {
        finish(key, end_kind::lease_lapsed, life_);
    }
}

void fake_guarded_worker::finish(const run_key& key, end_kind how, std::uint64_t life) {
    const auto found = runs_.find(key);
    if (life != life_ || found == runs_.end()) {
        return;
    }
    if (how == end_kind::done && now.stands_still) {
        return;
    }
    runs_.erase(found);
    over_[key.first] = std::max(over_[key.first], key.second);
    ends_.push_back({.number = ++ends_made_,
                     .task = key.first,
                     .run = key.second,
                     .how = how,
                     .checkpoint = ""});
    listener_.run_over(key.first, key.second, how);
}

std::uint32_t fake_guarded_worker::percent(const live_run& run) const {
    if (now.stands_still) {
        return 0;
    }
    const auto share = std::chrono::duration<double>(loop_.now() - run.began) /
                       std::chrono::duration<double>(options_.run_time * now.slowdown);
    return static_cast<std::uint32_t>(std::min(share, 1.0) * whole_percent);
}

workload::hold_reply fake_guarded_worker::hold(const workload::worker_port::hold_call& call) {
    if (call.worker != facts().life) {
        return {.reply = reply(call_end::other_worker)};
    }
    if (fenced(call.token)) {
        return {.reply = reply(call_end::fenced)};
    }
    extend(call.lease);
    for (const auto& end : ends_) {
        if (end.number <= call.ends_seen) {
            listener_.end_noted(end);
        }
    }
    std::erase_if(ends_, [&](const auto& end) { return end.number <= call.ends_seen; });
    workload::hold_reply answer{.reply = reply(call_end::accepted),
                                .lists = {.runs = {}, .ends = ends_}};
    for (const auto& [key, run] : runs_) {
        answer.lists.runs.push_back(
            {.task = key.first, .run = key.second, .percent = percent(run)});
    }
    return answer;
}

workload::call_reply fake_guarded_worker::start(const workload::worker_port::start_call& call) {
    const run_key key{call.run.task, call.run.run};
    if (call.worker != facts().life) {
        return reply(call_end::other_worker);
    }
    if (fenced(call.token)) {
        return reply(call_end::fenced);
    }
    if (runs_.contains(key)) {
        return reply(call_end::accepted);
    }
    extend(call.lease);
    const auto over = over_.find(key.first);
    if (over != over_.end() && key.second <= over->second) {
        return reply(call_end::outdated);
    }
    if (lease_ms_ <= clock().get()) {
        return reply(call_end::late);
    }
    runs_[key] = {.needs = call.run.needs, .began = loop_.now()};
    listener_.run_began(key.first, key.second, facts().life);
    resources used;
    for (const auto& [name, run] : runs_) {
        used.add(run.needs);
    }
    if (!options_.capacity.can_fit(used)) {
        listener_.overfull(facts().life);
    }
    const auto how = now.fails_all ? end_kind::failed : end_kind::done;
    const auto time = std::chrono::duration_cast<duration>(options_.run_time * now.slowdown);
    loop_.schedule(time, [this, key, how, life = life_] { finish(key, how, life); });
    return reply(call_end::accepted);
}

workload::call_reply fake_guarded_worker::stop(const workload::worker_port::stop_call& call) {
    const run_key key{call.run.task, call.run.run};
    if (call.worker != facts().life) {
        return reply(call_end::other_worker);
    }
    if (fenced(call.token)) {
        return reply(call_end::fenced);
    }
    over_[key.first] = std::max(over_[key.first], key.second);
    const auto found = runs_.find(key);
    if (found != runs_.end() && !found->second.stopping) {
        found->second.stopping = true;
        loop_.schedule(options_.stop_time,
                       [this, key, life = life_] { finish(key, end_kind::stopped, life); });
    }
    return reply(call_end::accepted);
}

void fake_worker_link::later(duration delay_time, std::function<void()> action) {
    worker_.loop().schedule(delay_time,
                            [alive = std::weak_ptr<bool>(alive_), action = std::move(action)] {
                                if (!alive.expired()) {
                                    action();
                                }
                            });
}

bool fake_worker_link::lose(duration timeout, const std::function<void()>& unanswered,
                            std::function<void()> late_effect) {
    auto& loop = worker_.loop();
    const auto chance = static_cast<double>(loop.random() % std::uint64_t{1'000'000}) / share_scale;
    if (!worker_.now.silent && chance >= worker_.now.late_calls) {
        return false;
    }
    later(timeout, unanswered);
    if (!worker_.now.silent) {
        // Carried out although the guard may be gone.
        loop.schedule(std::chrono::milliseconds{loop.random() % latest_call_ms},
                      std::move(late_effect));
    }
    return true;
}

void fake_worker_link::hold(const hold_call& call, std::function<void(workload::hold_reply)> done) {
    const auto unanswered = [done] { done({.reply = {.end = call_end::unanswered}}); };
    const bool lost =
        lose(call.timeout, unanswered, [&worker = worker_, call] { worker.hold(call); });
    if (!lost) {
        wait_for_end(call, worker_.loop().now() + call.wait, done);
    }
}

void fake_worker_link::wait_for_end(const hold_call& call, time_point until,
                                    const std::function<void(workload::hold_reply)>& done) {
    const auto answer = worker_.hold(call);
    const bool more = answer.reply.end == call_end::accepted && answer.lists.ends.empty() &&
                      worker_.loop().now() < until;
    if (!more) {
        later(call_delay, [done, answer] { done(answer); });
        return;
    }
    later(look_step, [this, call, until, done] { wait_for_end(call, until, done); });
}

void fake_worker_link::start(const start_call& call,
                             std::function<void(workload::call_reply)> done) {
    const auto unanswered = [done] { done({.end = call_end::unanswered}); };
    if (lose(call.timeout, unanswered, [&worker = worker_, call] { worker.start(call); })) {
        return;
    }
    later(call_delay, [this, call, done] {
        const auto answer = worker_.start(call);
        later(call_delay, [done, answer] { done(answer); });
    });
}

void fake_worker_link::stop(const stop_call& call, std::function<void(workload::call_reply)> done) {
    const auto unanswered = [done] { done({.end = call_end::unanswered}); };
    if (lose(call.timeout, unanswered, [&worker = worker_, call] { worker.stop(call); })) {
        return;
    }
    later(call_delay, [this, call, done] {
        const auto answer = worker_.stop(call);
        later(call_delay, [done, answer] { done(answer); });
    });
}

}  // namespace baobabrack::fakes
