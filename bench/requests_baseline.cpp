#include "requests_baseline.hpp"

#include <utility>

namespace baobabrack::bench {

namespace {

constexpr int first_error_status = 500;

}  // namespace

requests_baseline::requests_baseline(runtime& loop, target_service& targets,
                                     std::vector<target_id> ids, std::uint32_t slots_each)
    : loop_(loop), targets_(targets), ids_(std::move(ids)), slots_each_(slots_each) {
}

void requests_baseline::submit(caller_request request, answer_callback done) {
    const auto deadline = loop_.now() + request.deadline;
    queue_.push_back(
        std::make_shared<waiting>(waiting{std::move(request), std::move(done), deadline}));
    pump();
}

void requests_baseline::pump() {
    std::size_t full = 0;
    while (!queue_.empty() && full < ids_.size()) {
        const auto next = queue_.front();
        if (next->deadline <= loop_.now()) {
            queue_.pop_front();
            next->done(refusal{refusal_reason::deadline, ran_state::unknown, "retry later", {}});
            continue;
        }
        const auto& target = ids_[turn_++ % ids_.size()];
        if (busy_[target] >= slots_each_) {
            ++full;
            continue;
        }
        full = 0;
        queue_.pop_front();
        send(next, target);
    }
}

void requests_baseline::send(const waiting_pointer& next, const target_id& target) {
    ++busy_[target];
    const target_request outgoing{.id = ++last_id_,
                                  .request_class = next->request.request_class,
                                  .body = next->request.body,
                                  .deadline = next->deadline - loop_.now()};
    // An exchange that gets no answer ends with its deadline.
    const auto ended = std::make_shared<bool>(false);
    const auto end = [this, next, target, ended](target_reply reply) {
        if (!std::exchange(*ended, true)) {
            replied(next, target, std::move(reply));
        }
    };
    loop_.schedule(outgoing.deadline, [end] { end({.outcome = exchange_outcome::timed_out}); });
    targets_.send(target, outgoing, end);
}

void requests_baseline::replied(const waiting_pointer& sent, const target_id& target,
                                target_reply reply) {
    --busy_[target];
    const bool good =
        reply.outcome == exchange_outcome::answered && reply.status < first_error_status;
    if (good) {
        sent->done(whole_answer{reply.status, std::move(reply.headers), std::move(reply.body)});
    } else {
        queue_.push_back(sent);
    }
    pump();
}

}  // namespace baobabrack::bench
