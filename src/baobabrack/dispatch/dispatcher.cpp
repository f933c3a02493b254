#include "baobabrack/dispatch/dispatcher.hpp"

#include <xxhash.h>

#include <algorithm>

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

constexpr duration retry_after_overload = 1s;
// Requests looked at for a target before the others wait for the next change.
constexpr std::size_t most_blocked = 4;
// Deviations of its class's latency that a request must have left to be sent.
constexpr double sure_deviations = 3;
constexpr double least_cost = 0.1;
constexpr double largest_cost = 10;

std::uint64_t digest_of(const caller_request& request) {
    const auto body = XXH3_64bits(request.body.data(), request.body.size());
    return XXH3_64bits_withSeed(request.request_class.data(), request.request_class.size(), body);
}

std::string class_names(const wire::Service& service) {
    std::string names;
    for (const auto& one : service.classes()) {
        names += names.empty() ? "" : ", ";
        names += one.name();
    }
    return names;
}

}  // namespace

dispatcher::dispatcher(const context& with, options opts)
    : with_(with),
      options_(std::move(opts)),
      metrics_(with.metrics),
      shares_(with.loop, with.entries, options_.self, options_.version, options_.shares),
      book_(with.loop, with.registry, shares_, options_.targets),
      chooser_(with.loop, with.tickets, book_, region_bytes_, options_.place),
      keeper_(with.loop, with.claims, with.entries, with.log, metrics_, options_.self,
              options_.version, options_.claims),
      pump_timer_(with.loop) {
}

dispatcher::~dispatcher() {
    // The timers' actions hold their requests, and the requests their timers.
    for (const auto& [number, pending] : pending_) {
        pending->deadline_timer.cancel();
        pending->retry_timer.cancel();
    }
}

void dispatcher::rejoined(incarnation version) {
    shares_.rejoined(version);
    keeper_.rejoined(version);
}

refusal dispatcher::unproved(const caller_request& request, bool idempotent, refusal_reason reason,
                             std::string remedy) const {
    const bool may_have_run = !idempotent && request.key && request.attempt != 1;
    return {reason, may_have_run ? ran_state::unknown : ran_state::no, std::move(remedy)};
}

void dispatcher::refuse_new(const answer_callback& done, refusal refused) {
    metrics_.refused(refused.reason, refused.ran);
    done(std::move(refused));
}

const wire::Workspace* dispatcher::resolve(const caller_request& request) {
    const auto match = with_.tickets.match_workspace(request.workspace);
    if (match && match->how != name_match::former_name) {
        return match->workspace;
    }
    confused_caller row{.word = request.workspace, .region = request.caller_region};
    if (match) {
        row.workspace = workspace_id{match->workspace->id()};
    } else {
        row.nearest = with_.tickets.nearest_workspace(request.workspace);
    }
    confused_.note(std::move(row), with_.loop.wall_now());
    return match ? match->workspace : nullptr;
}

void dispatcher::submit(caller_request request, answer_callback done) {
    metrics_.submitted();
    const auto* workspace = resolve(request);
    if (workspace == nullptr) {
        const auto nearest = with_.tickets.nearest_workspace(request.workspace);
        refuse_new(done, unproved(request, false, refusal_reason::unknown_workspace,
                                  "the nearest known workspace is \"" + nearest + "\""));
        return;
    }
    const service_id service{workspace->service()};
    const auto* rules = with_.tickets.find_class(service, request.request_class);
    if (rules == nullptr) {
        const auto* known = with_.tickets.find_service(service);
        const auto names = known == nullptr ? std::string{} : class_names(*known);
        refuse_new(done, unproved(request, false, refusal_reason::unknown_class,
                                  "send one of the service's classes: " + names));
        return;
    }
    if (draining_ || pending_.size() >= options_.most_pending) {
        auto refused = unproved(request, rules->idempotent(),
                                draining_ ? refusal_reason::draining : refusal_reason::queue_full,
                                draining_ ? "send it to another entry" : "retry later");
        refused.retry_after = draining_ ? duration{} : retry_after_overload;
        refuse_new(done, std::move(refused));
        return;
    }
    if (!rules->idempotent() && !request.key) {
        refuse_new(done, unproved(request, false, refusal_reason::key_missing,
                                  "send an idempotency key of the form <Unix ms>-<random>"));
        return;
    }
    auto pending = std::make_shared<pending_request>(with_.loop);
    pending->number = ++last_number_;
    pending->request = std::move(request);
    pending->done = std::move(done);
    pending->workspace = workspace_id{workspace->id()};
    pending->service = service;
    pending->priority = rules->priority();
    pending->weight = workspace->request_weight();
    pending->region_byte_limit = workspace->cross_region_bytes_per_day();
    pending->idempotent = rules->idempotent();
    pending->submitted = with_.loop.now();
    pending_.emplace(pending->number, pending);
    admit(pending, *rules);
}

void dispatcher::admit(const request_pointer& pending, const wire::RequestClass& rules) {
    auto wanted = pending->request.deadline;
    if (wanted <= duration::zero()) {
        wanted = std::chrono::milliseconds{rules.default_deadline_ms()};
    }
    if (wanted <= duration::zero()) {
        wanted = options_.default_deadline;
    }
    pending->deadline = with_.loop.now() + std::min(wanted, options_.longest_deadline);
    auto& lane = lane_of(pending->service);
    const auto limit =
        rules.queue_limit() == 0 ? options_.default_queue_limit : rules.queue_limit();
    if (!make_room(lane, *pending, limit)) {
        const auto refused = unproved(pending->request, pending->idempotent,
                                      refusal_reason::queue_full, "retry later");
        refuse(pending, refused.reason, refused.ran, refused.remedy, retry_after_overload);
        return;
    }
    lane.retries.earn();
    if (pending->idempotent) {
        enqueue(pending);
        return;
    }
    claim(pending);
}

bool dispatcher::make_room(service_lane& lane, const pending_request& added, std::uint32_t limit) {
    const bool class_full = lane.queue.size_of(added.priority) >= limit;
    if (!class_full && lane.queue.size() < options_.most_queued) {
        return true;
    }
    const auto victim =
        class_full ? lane.queue.first_to_shed(added.priority) : lane.queue.first_to_shed();
    if (!victim) {
        return false;
    }
    const bool lower = victim->priority > added.priority;
    const bool others = victim->priority == added.priority && victim->workspace != added.workspace;
    if (!lower && !others) {
        return false;
    }
    lane.queue.remove(victim->request);
    const auto shed = pending_.at(victim->request);
    refuse(shed, refusal_reason::shed, shed->may_have_run ? ran_state::unknown : ran_state::no,
           "retry later, or send less", retry_after_overload);
    return true;
}

void dispatcher::claim(const request_pointer& pending) {
    claim_request wanted{.workspace = pending->workspace,
                         .key = *pending->request.key,
                         .attempt = pending->request.attempt,
                         .request_class = pending->request.request_class,
                         .digest = digest_of(pending->request),
                         .deadline = pending->deadline};
    keeper_.acquire(std::move(wanted), [this, pending](claim_keeper::outcome outcome) {
        if (const auto* token = std::get_if<claim_token>(&outcome)) {
            pending->claim = *token;
            enqueue(pending);
            return;
        }
        finish(pending, std::move(std::get<caller_answer>(outcome)));
    });
}

void dispatcher::enqueue(const request_pointer& pending) {
    pending->deadline_timer.arm(pending->deadline - with_.loop.now(),
                                [this, pending] { deadline_passed(pending); });
    auto& lane = lane_of(pending->service);
    lane.queue.push(item_of(lane, *pending));
    pump(pending->service);
}

fair_queue::item dispatcher::item_of(service_lane& lane, const pending_request& pending) const {
    const auto mean = lane.all_latencies.mean().count();
    const auto own = lane.latencies[pending.request.request_class].mean().count();
    const double cost = mean == 0 || own == 0 ? 1.0 : static_cast<double>(own) / mean;
    return {.request = pending.number,
            .workspace = pending.workspace,
            .weight = pending.weight,
            .priority = pending.priority,
            .cost = std::clamp(cost, least_cost, largest_cost)};
}

dispatcher::service_lane& dispatcher::lane_of(const service_id& service) {
    return lanes_.try_emplace(service, options_).first->second;
}

void dispatcher::refresh() {
    for (const auto& [service, lane] : lanes_) {
        pump(service);
    }
}

bool dispatcher::too_late(service_lane& lane, const pending_request& pending) const {
    const auto& latency = lane.latencies[pending.request.request_class];
    return pending.deadline - with_.loop.now() < latency.within(sure_deviations);
}

void dispatcher::pump(const service_id& service) {
    if (pumping_) {
        arm_pump();
        return;
    }
    pumping_ = true;
    auto& lane = lane_of(service);
    std::vector<fair_queue::item> blocked;
    while (blocked.size() < most_blocked) {
        const auto item = lane.queue.pop();
        if (!item) {
            break;
        }
        const auto pending = pending_.at(item->request);
        if (too_late(lane, *pending)) {
            deadline_passed(pending);
            continue;
        }
        const auto choice = choose(lane, *pending);
        pending->over_budget = choice.over_budget;
        if (choice.target == nullptr) {
            blocked.push_back(*item);
            continue;
        }
        send(pending, *choice.target, choice.across);
    }
    std::for_each(blocked.rbegin(), blocked.rend(),
                  [&](const auto& item) { lane.queue.put_back(item); });
    pumping_ = false;
    metrics_.set_waiting(lane.queue.size(), exchanges_.size());
    if (!lane.queue.empty()) {
        arm_pump();
    }
}

void dispatcher::arm_pump() {
    if (!pump_timer_.armed()) {
        pump_timer_.arm(options_.pump_interval, [this] { refresh(); });
    }
}

target_chooser::choice dispatcher::choose(service_lane& lane, const pending_request& pending) {
    return chooser_.choose({.service = pending.service,
                            .workspace = pending.workspace,
                            .idempotent = pending.idempotent,
                            .bytes = pending.request.body.size(),
                            .region_byte_limit = pending.region_byte_limit,
                            .tried = &pending.tried,
                            .left = pending.deadline - with_.loop.now(),
                            .expected = lane.latencies[pending.request.request_class].within(1)});
}

refusal_reason dispatcher::waiting_reason(const pending_request& pending) {
    if (pending.over_budget) {
        return refusal_reason::region_budget;
    }
    if (!book_.any_open(pending.service)) {
        return refusal_reason::no_target;
    }
    return shares_.usable() ? refusal_reason::deadline : refusal_reason::no_share;
}

void dispatcher::refuse(const request_pointer& pending, refusal_reason reason, ran_state ran,
                        std::string remedy, duration retry_after) {
    if (pending->claim && pending->exchange == 0) {
        keeper_.settle(pending->workspace, *pending->claim, ran);
    }
    finish(pending, refusal{reason, ran, std::move(remedy), retry_after});
}

void dispatcher::finish(const request_pointer& pending, caller_answer answer) {
    if (const auto* refused = std::get_if<refusal>(&answer); refused != nullptr && pending->done) {
        metrics_.refused(refused->reason, refused->ran);
    } else if (pending->done) {
        metrics_.answered(pending->request.request_class, with_.loop.now() - pending->submitted);
    }
    auto done = std::exchange(pending->done, nullptr);
    give_up_overdue(pending);
    if (pending->exchange == 0) {
        forget(pending);
    }
    if (done) {
        done(std::move(answer));
    }
}

void dispatcher::forget(const request_pointer& pending) {
    pending->deadline_timer.cancel();
    pending->retry_timer.cancel();
    pending_.erase(pending->number);
}

}  // namespace baobabrack
