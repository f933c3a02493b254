#include <algorithm>

#include "baobabrack/dispatch/dispatcher.hpp"

// How the dispatcher sends requests to targets and takes their answers in.

namespace baobabrack {

namespace {

constexpr int first_error_status = 500;
// Deviations of its class's latency after which an answer is overdue.
constexpr double overdue_deviations = 6;
constexpr int overdue_factor = 3;
constexpr std::uint32_t most_backoff_doublings = 6;

retry_reason reason_of(exchange_outcome end) {
    switch (end) {
        case exchange_outcome::not_sent:
            return retry_reason::not_sent;
        case exchange_outcome::refused_not_run:
            return retry_reason::refused;
        case exchange_outcome::timed_out:
            return retry_reason::timed_out;
        default:
            return retry_reason::broken;
    }
}

bool ran_nothing(exchange_outcome end) {
    return end == exchange_outcome::not_sent || end == exchange_outcome::refused_not_run;
}

bool cut_short(const target_reply& reply) {
    const auto length =
        std::find_if(reply.headers.begin(), reply.headers.end(),
                     [](const http_header& one) { return one.name == "Content-Length"; });
    return length != reply.headers.end() && length->value != std::to_string(reply.body.size());
}

}  // namespace

bool dispatcher::has_guard(const target_id& target) const {
    const auto* known = with_.registry.find(target);
    return known != nullptr && !known->facts.guard_endpoint().empty();
}

void dispatcher::send(const request_pointer& pending, target_load& target, bool across) {
    const auto id = ++last_number_;
    const auto now = with_.loop.now();
    book_.hold(target);
    exchanges_.emplace(id, target_exchange{.request = pending->number,
                                           .target = target.id,
                                           .version = target.version,
                                           .started = now,
                                           .deadline = pending->deadline,
                                           .across = across});
    pending->exchange = id;
    ++pending->sends;
    metrics_.sent();
    if (across) {
        region_bytes_.spend(pending->workspace, pending->request.body.size(),
                            with_.loop.wall_now());
        metrics_.crossed_regions(pending->workspace, pending->request.body.size());
    }
    const target_request outgoing{.id = id,
                                  .workspace = pending->workspace,
                                  .request_class = pending->request.request_class,
                                  .headers = pending->request.headers,
                                  .body = pending->request.body,
                                  .deadline = pending->deadline - now,
                                  .claim = pending->claim};
    with_.targets.send(target.id, outgoing,
                       [this, alive = std::weak_ptr<bool>(alive_), id](target_reply reply) {
                           if (!alive.expired()) {
                               replied(id, std::move(reply));
                           }
                       });
    if (pending->idempotent) {
        arm_attempt(pending);
    }
}

void dispatcher::arm_attempt(const request_pointer& pending) {
    const auto& latency = lane_of(pending->service).latencies[pending->request.request_class];
    const auto overdue = std::max({options_.least_attempt, latency.within(overdue_deviations),
                                   overdue_factor * latency.mean()});
    if (with_.loop.now() + overdue < pending->deadline) {
        pending->retry_timer.arm(overdue, [this, pending] { attempt_overdue(pending); });
    }
}

void dispatcher::attempt_overdue(const request_pointer& pending) {
    const auto found = exchanges_.find(pending->exchange);
    if (found == exchanges_.end()) {
        return;
    }
    pending->tried.push_back(found->second.target);
    if (!retry(pending, retry_reason::timed_out)) {
        pending->tried.pop_back();
        return;
    }
    // It keeps its slot either way, so its answer may as well win over the next exchange's.
    book_.failed(found->second.target, found->second.version);
    pending->overdue.push_back(std::exchange(pending->exchange, 0));
    pending->may_have_run = true;
}

bool dispatcher::is_overdue(pending_request& pending, std::uint64_t exchange) {
    return std::erase(pending.overdue, exchange) > 0;
}

void dispatcher::take_overdue(const request_pointer& pending, const target_exchange& ended,
                              target_reply reply) {
    if (reply.outcome != exchange_outcome::answered || reply.status >= first_error_status) {
        return;
    }
    lane_of(pending->service).queue.remove(pending->number);
    pending->retry_timer.cancel();
    if (pending->exchange != 0) {
        give_up(std::exchange(pending->exchange, 0));
    }
    take_answer(pending, ended, std::move(reply));
}

bool dispatcher::belongs(std::uint64_t exchange, const target_reply& reply) {
    if (options_.trust_answers) {
        return true;
    }
    if (reply.id && *reply.id != exchange) {
        metrics_.dropped(drop_reason::crossed);
        return false;
    }
    if (cut_short(reply)) {
        metrics_.dropped(drop_reason::truncated);
        return false;
    }
    if (reply.body.size() > options_.largest_answer) {
        metrics_.dropped(drop_reason::oversized);
        return false;
    }
    return true;
}

void dispatcher::replied(std::uint64_t exchange, target_reply reply) {
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) {
        metrics_.dropped(drop_reason::late);
        return;
    }
    const auto ended = found->second;
    const auto pending = pending_.at(ended.request);
    exchanges_.erase(found);
    const bool overdue = is_overdue(*pending, exchange);
    if (!overdue) {
        pending->exchange = 0;
        pending->retry_timer.cancel();
    }
    if (reply.outcome == exchange_outcome::answered && !belongs(exchange, reply)) {
        reply.outcome = exchange_outcome::broken;
    }
    if (reply.outcome == exchange_outcome::answered || ran_nothing(reply.outcome)) {
        book_.release(ended.target);
    } else {
        release_later(ended);
    }
    if (overdue) {
        take_overdue(pending, ended, std::move(reply));
    } else if (reply.outcome == exchange_outcome::answered) {
        take_answer(pending, ended, std::move(reply));
    } else {
        failed(pending, ended, reply.outcome);
    }
    pump(pending->service);
}

void dispatcher::take_answer(const request_pointer& pending, const target_exchange& ended,
                             target_reply reply) {
    if (ended.across) {
        region_bytes_.spend(pending->workspace, reply.body.size(), with_.loop.wall_now());
        metrics_.crossed_regions(pending->workspace, reply.body.size());
    }
    if (reply.status >= first_error_status) {
        book_.failed(ended.target, ended.version);
        pending->tried.push_back(ended.target);
        pending->may_have_run = true;
        if (pending->idempotent && retry(pending, retry_reason::error_answer)) {
            return;
        }
    } else {
        auto& lane = lane_of(pending->service);
        auto& latency = lane.latencies[pending->request.request_class];
        const auto taken = with_.loop.now() - ended.started;
        const auto mean = std::max<duration>(latency.mean(), duration{1});
        const double slowness = latency.mean() == duration::zero()
                                    ? 1.0
                                    : static_cast<double>(taken.count()) / mean.count();
        book_.succeeded(ended.target, ended.version, slowness);
        latency.record(taken);
        lane.all_latencies.record(taken);
    }
    whole_answer answer{reply.status, std::move(reply.headers), std::move(reply.body)};
    if (pending->claim) {
        keeper_.settle(pending->workspace, *pending->claim, answer);
    }
    finish(pending, std::move(answer));
}

void dispatcher::failed(const request_pointer& pending, const target_exchange& ended,
                        exchange_outcome end) {
    book_.failed(ended.target, ended.version);
    pending->tried.push_back(ended.target);
    if (!ran_nothing(end)) {
        if (pending->claim) {
            fence(pending, ended);
            return;
        }
        pending->may_have_run = true;
    }
    if (retry(pending, reason_of(end)) || !pending->overdue.empty()) {
        return;
    }
    const auto ran = pending->may_have_run ? ran_state::unknown : ran_state::no;
    const bool spent = pending->deadline > with_.loop.now();
    refuse(pending, spent ? refusal_reason::retries_spent : refusal_reason::deadline, ran,
           "retry later; the targets fail");
}

void dispatcher::fence(const request_pointer& pending, const target_exchange& ended) {
    if (!has_guard(ended.target)) {
        fenced(pending, ran_state::unknown);
        return;
    }
    pending->fencing = true;
    pending->retry_timer.arm(options_.fence_patience,
                             [this, pending] { fenced(pending, ran_state::unknown); });
    with_.targets.fence(ended.target, pending->workspace, *pending->claim,
                        [this, alive = std::weak_ptr<bool>(alive_), pending](ran_state ran) {
                            if (!alive.expired() && pending->fencing) {
                                fenced(pending, ran);
                            }
                        });
}

void dispatcher::fenced(const request_pointer& pending, ran_state ran) {
    pending->fencing = false;
    pending->retry_timer.cancel();
    const bool again = ran == ran_state::no || options_.resend_unknown;
    if (again && pending->done && retry(pending, retry_reason::broken)) {
        return;
    }
    refuse(pending, refusal_reason::answer_lost, ran,
           ran == ran_state::no ? "repeat it with a higher attempt number"
                                : "ask again with the same key, or find out what the work did");
}

bool dispatcher::retry(const request_pointer& pending, retry_reason reason) {
    auto& lane = lane_of(pending->service);
    const auto left = pending->deadline - with_.loop.now();
    const auto expected = lane.latencies[pending->request.request_class].mean();
    const bool worth_it = pending->done && left > expected && pending->sends < options_.most_sends;
    if (!worth_it || !lane.retries.spend()) {
        return false;
    }
    metrics_.retried(reason);
    const auto doublings = std::min(pending->sends, most_backoff_doublings);
    const auto longest =
        std::min(options_.retry_backoff * (1 << doublings), options_.longest_backoff);
    const duration delay{static_cast<duration::rep>(
        with_.loop.random() % static_cast<std::uint64_t>(longest.count() + 1))};
    pending->retry_timer.arm(delay, [this, pending] {
        auto& waiting = lane_of(pending->service);
        waiting.queue.put_back(item_of(waiting, *pending));
        pump(pending->service);
    });
    return true;
}

void dispatcher::release_later(const target_exchange& ended) {
    const auto until = ended.deadline + options_.linger;
    ++lingering_;
    with_.loop.schedule(until - with_.loop.now(),
                        [this, alive = std::weak_ptr<bool>(alive_), target = ended.target] {
                            if (!alive.expired()) {
                                --lingering_;
                                book_.release(target);
                                refresh();
                            }
                        });
}

void dispatcher::give_up(std::uint64_t exchange) {
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) {
        return;
    }
    with_.targets.abandon(found->second.target, exchange);
    release_later(found->second);
    exchanges_.erase(found);
}

void dispatcher::give_up_overdue(const request_pointer& pending) {
    for (const auto exchange : pending->overdue) {
        give_up(exchange);
    }
    pending->overdue.clear();
}

void dispatcher::abandon(const request_pointer& pending) {
    const auto found = exchanges_.find(pending->exchange);
    if (found != exchanges_.end()) {
        book_.failed(found->second.target, found->second.version);
    }
    give_up(std::exchange(pending->exchange, 0));
}

void dispatcher::deadline_passed(const request_pointer& pending) {
    lane_of(pending->service).queue.remove(pending->number);
    if (pending->fencing) {
        return;
    }
    pending->retry_timer.cancel();
    if (pending->exchange == 0) {
        const auto ran = pending->may_have_run ? ran_state::unknown : ran_state::no;
        refuse(pending, waiting_reason(*pending), ran, "retry later, or allow more time");
        return;
    }
    if (pending->idempotent) {
        abandon(pending);
        refuse(pending, refusal_reason::deadline, ran_state::unknown, "retry, or allow more time");
        return;
    }
    // The answer may still come: it is then kept with the claim for later attempts.
    pending->retry_timer.arm(options_.late_window,
                             [this, pending] { late_window_passed(pending); });
    refuse(pending, refusal_reason::deadline, ran_state::unknown,
           "ask again with the same key for the result");
}

void dispatcher::late_window_passed(const request_pointer& pending) {
    const auto found = exchanges_.find(pending->exchange);
    if (found == exchanges_.end()) {
        return;
    }
    const auto ended = found->second;
    abandon(pending);
    fence(pending, ended);
}

}  // namespace baobabrack
