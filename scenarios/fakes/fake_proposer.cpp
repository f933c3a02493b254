#include "fakes/fake_proposer.hpp"

#include <utility>

namespace baobabrack::fakes {

fake_proposer::fake_proposer(runtime& loop, std::vector<replicated_state*> states, options opts)
    : loop_(loop), states_(std::move(states)), options_(std::move(opts)) {
}

void fake_proposer::propose(wire::Record record, duration timeout, callback done) {
    if (down_) {
        loop_.schedule(timeout, [done = std::move(done)] {
            done(failure{failure_kind::unavailable, "the log is down", "wait until it is back"});
        });
        return;
    }
    loop_.schedule(options_.delay, [this, record = std::move(record), done = std::move(done)] {
        done(apply(record));
    });
}

result<record_position> fake_proposer::apply(const wire::Record& record) {
    const record_position position{.offset = log_offset{next_offset_++},
                                   .written_at = loop_.wall_now(),
                                   .writer = options_.writer,
                                   .writer_incarnation = incarnation{1}};
    for (auto* state : states_) {
        if (!state->handles(record)) {
            continue;
        }
        if (auto applied = state->apply(record, position); !applied) {
            return std::move(applied).error();
        }
    }
    return position;
}

}  // namespace baobabrack::fakes
