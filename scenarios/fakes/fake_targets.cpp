#include "fakes/fake_targets.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack::fakes {

namespace {

using namespace std::chrono_literals;

constexpr int status_ok = 200;
constexpr int status_error = 500;

std::string claim_key(const target_request& request) {
    return request.claim ? request.claim->key.get() : std::string{};
}

target_reply make_answer(const target_request& request) {
    target_reply answer{
        .outcome = exchange_outcome::answered, .id = request.id, .status = status_ok};
    answer.body = "answer to " + request.body;
    answer.headers.push_back({"Content-Length", std::to_string(answer.body.size())});
    return answer;
}

}  // namespace

fake_target& fake_targets::add(wire::TargetAnnouncement facts) {
    const target_id id{facts.target()};
    auto& added = targets_[id];
    added.facts = std::move(facts);
    return added;
}

void fake_targets::crash(const target_id& id) {
    auto& target = targets_.at(id);
    target.facts.set_incarnation(target.facts.incarnation() + 1);
    target.facts.set_sequence(0);
    target.facts.set_leaving(false);
    target.running = 0;
    target.restarted = true;
    target.fenced.clear();
    target.ran_keys.clear();
    for (const auto& pending : std::vector<exchange_pointer>(open_)) {
        if (pending->target == id) {
            reply(pending, {.outcome = exchange_outcome::broken});
        }
    }
}

void fake_targets::send(const exchange_pointer& sent) {
    ++sends_;
    sent->incarnation = targets_.at(sent->target).facts.incarnation();
    ++targets_.at(sent->target).connections;
    open_.push_back(sent);
    loop_.schedule(sent->delay, [this, sent] { arrive(sent); });
}

void fake_targets::arrive(const exchange_pointer& sent) {
    auto& target = targets_.at(sent->target);
    if (!target.up) {
        reply(sent, {.outcome = exchange_outcome::not_sent});
        return;
    }
    if (target.facts.incarnation() != sent->incarnation) {
        return;
    }
    const bool guarded = !target.facts.guard_endpoint().empty();
    const bool full = target.running >= target.facts.slots();
    if (guarded && (full || target.fenced.contains(claim_key(sent->request)))) {
        reply(sent, {.outcome = exchange_outcome::refused_not_run});
        return;
    }
    run(sent);
}

void fake_targets::run(const exchange_pointer& sent) {
    auto& target = targets_.at(sent->target);
    ++runs_;
    ++target.running;
    if (sent->request.claim) {
        target.ran_keys.insert(claim_key(sent->request));
    }
    if (on_run_) {
        on_run_(target, sent->request);
    }
    auto work = work_(sent->request);
    if (target.mode == target_mode::slow) {
        work *= options_.slow_factor;
    } else if (target.mode == target_mode::errors) {
        work = 100us;
    } else if (target.mode == target_mode::stalls) {
        work = sent->request.deadline;
    }
    const auto limit = std::max(sent->request.deadline - sent->delay, duration::zero());
    loop_.schedule(std::min(work, limit), [this, sent] { complete(sent); });
}

void fake_targets::complete(const exchange_pointer& sent) {
    auto& target = targets_.at(sent->target);
    if (target.facts.incarnation() != sent->incarnation) {
        return;
    }
    --target.running;
    auto answer = make_answer(sent->request);
    switch (target.mode) {
        case target_mode::stalls:
            return;
        case target_mode::errors:
            answer.status = status_error;
            break;
        case target_mode::mismatches:
            answer.id = sent->request.id + 1;
            answer.body = "answer to somebody else";
            answer.headers.clear();
            break;
        case target_mode::truncates:
            answer.body.pop_back();
            break;
        case target_mode::duplicates:
            if (sent->done) {
                loop_.schedule(sent->delay + 1ms, [done = sent->done, answer] { done(answer); });
            }
            break;
        default:
            break;
    }
    reply(sent, std::move(answer));
}

void fake_targets::reply(const exchange_pointer& sent, target_reply answer) {
    loop_.schedule(sent->delay, [this, sent, answer = std::move(answer)] {
        const auto done = std::exchange(sent->done, nullptr);
        close(sent);
        if (done) {
            done(answer);
        }
    });
}

void fake_targets::close(const exchange_pointer& sent) {
    if (std::exchange(sent->ended, true)) {
        return;
    }
    --targets_.at(sent->target).connections;
    std::erase(open_, sent);
}

ran_state fake_targets::fence(const target_id& id, const std::string& key) {
    auto& target = targets_.at(id);
    // A restarted guard has no record of what ran before its restart.
    const bool guarded = !target.facts.guard_endpoint().empty() && !target.restarted;
    if (!target.up || !guarded || target.ran_keys.contains(key)) {
        return ran_state::unknown;
    }
    target.fenced.insert(key);
    return ran_state::no;
}

fake_target_link::~fake_target_link() {
    for (const auto& [id, pending] : exchanges_) {
        if (const auto open = pending.lock()) {
            open->done = nullptr;
            targets_.close(open);
        }
    }
}

duration fake_target_link::delay_to(const target_id& target) const {
    const bool same_region = targets_.get(target).facts.location().region() == region_;
    return same_region ? targets_.options_.delay : targets_.options_.cross_region_delay;
}

void fake_target_link::send(const target_id& target, const target_request& request,
                            reply_callback done) {
    std::erase_if(exchanges_, [](const auto& item) { return item.second.expired(); });
    auto sent = std::make_shared<fake_targets::exchange>();
    sent->target = target;
    sent->request = request;
    sent->done = std::move(done);
    sent->delay = delay_to(target);
    exchanges_[request.id] = sent;
    targets_.send(sent);
}

void fake_target_link::abandon(const target_id& target, std::uint64_t request) {
    (void)target;
    const auto found = exchanges_.find(request);
    if (found == exchanges_.end()) {
        return;
    }
    if (const auto open = found->second.lock()) {
        open->done = nullptr;
        targets_.close(open);
    }
    exchanges_.erase(found);
}

void fake_target_link::fence(const target_id& target, const workspace_id& workspace,
                             const claim_token& claim, std::function<void(ran_state)> done) {
    (void)workspace;
    const auto delay = delay_to(target);
    auto& loop = targets_.loop_;
    loop.schedule(delay, [this, &loop, target, key = claim.key.get(), delay,
                          done = std::move(done)]() mutable {
        const auto ran = targets_.fence(target, key);
        loop.schedule(delay, [done = std::move(done), ran] { done(ran); });
    });
}

}  // namespace baobabrack::fakes
