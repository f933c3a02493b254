#include "fakes/fake_workers.hpp"

#include <algorithm>

namespace baobabrack::fakes {

namespace {

constexpr std::uint64_t permille_scale = 1000;

}  // namespace

struct fake_workers::exchange {
    std::string caller;
    worker_id worker;
    wire::WorkerCall call;
    reply_callback done;
    bool finished = false;
};

fake_workers::fake_workers(runtime& loop, options opts) : loop_(loop), options_(opts) {
}

void fake_workers::call(const worker_id& worker, const wire::WorkerCall& call,
                        reply_callback done) {
    call_from("", worker, call, std::move(done));
}

void fake_workers::call_from(const std::string& caller, const worker_id& worker,
                             const wire::WorkerCall& call, reply_callback done) {
    ++calls_;
    bytes_ += call.ByteSizeLong();
    auto pending = std::make_shared<exchange>(exchange{caller, worker, call, std::move(done)});
    loop_.schedule(options_.call_timeout, [pending] {
        if (!std::exchange(pending->finished, true)) {
            pending->done(
                failure{failure_kind::timed_out, "the worker has not answered", "repeat the call"});
        }
    });
    if (is_partitioned(caller, worker) || should_lose(options_.lost_calls_permille)) {
        return;
    }
    loop_.schedule(random_delay(), [this, pending] { deliver(pending); });
}

void fake_workers::deliver(const std::shared_ptr<exchange>& pending) {
    auto* recipient = find(pending->worker);
    if (recipient == nullptr) {
        if (!std::exchange(pending->finished, true)) {
            pending->done(failure{failure_kind::unavailable, "the worker refuses connections",
                                  "wait until it is replaced"});
        }
        return;
    }
    if (recipient->paused()) {
        paused_calls_[pending->worker].push_back(pending);
        return;
    }
    const auto reply = recipient->handle(pending->call);
    if (is_partitioned(pending->caller, pending->worker) ||
        should_lose(options_.lost_answers_permille)) {
        return;
    }
    loop_.schedule(random_delay(), [this, pending, reply] { answer(pending, reply); });
}

void fake_workers::answer(const std::shared_ptr<exchange>& pending,
                          const wire::WorkerReply& reply) {
    if (std::exchange(pending->finished, true)) {
        return;
    }
    bytes_ += reply.ByteSizeLong();
    pending->done(reply);
}

fake_worker& fake_workers::add(const wire::WorkerFacts& facts) {
    const worker_id id{facts.worker()};
    listed_[id] = facts;
    unlisted_.erase(id);
    paused_calls_.erase(id);
    auto& added = alive_[id];
    added = std::make_unique<fake_worker>(loop_, facts, options_.worker);
    added->on_finished = [this, id](const job_id& job, attempt_number attempt) {
        if (on_finished) {
            on_finished(id, job, attempt);
        }
    };
    return *added;
}

void fake_workers::add_many(std::uint32_t count, std::uint32_t per_rack,
                            const resources& capacity) {
    for (std::uint32_t i = 0; i < count; ++i) {
        wire::WorkerFacts facts;
        facts.set_worker("w" + std::to_string(i));
        facts.set_incarnation(1);
        facts.mutable_location()->set_region("r0");
        facts.mutable_location()->set_data_centre("d0");
        facts.mutable_location()->set_rack("k" + std::to_string(i / per_rack));
        *facts.mutable_capacity() = to_wire(capacity);
        add(facts);
    }
}

fake_worker* fake_workers::find(const worker_id& id) {
    const auto found = alive_.find(id);
    return found == alive_.end() ? nullptr : found->second.get();
}

void fake_workers::kill(const worker_id& id) {
    alive_.erase(id);
    paused_calls_.erase(id);
}

void fake_workers::replace(const worker_id& id) {
    auto facts = listed_.count(id) != 0 ? listed_.at(id) : unlisted_.at(id);
    facts.set_incarnation(facts.incarnation() + 1);
    add(facts);
}

void fake_workers::forget(const worker_id& id) {
    kill(id);
    if (auto found = listed_.extract(id)) {
        unlisted_[id] = found.mapped();
    }
}

void fake_workers::pause(const worker_id& id, duration span) {
    auto* recipient = find(id);
    if (recipient == nullptr || recipient->paused()) {
        return;
    }
    recipient->pause();
    loop_.schedule(span, [this, id, version = recipient->facts().incarnation()] {
        auto* current = find(id);
        if (current == nullptr || current->facts().incarnation() != version || !current->paused()) {
            return;
        }
        current->resume();
        const auto paused_calls = std::move(paused_calls_[id]);
        paused_calls_.erase(id);
        for (const auto& pending : paused_calls) {
            deliver(pending);
        }
    });
}

void fake_workers::set_partitioned(const std::string& caller, const worker_id& worker,
                                   bool partitioned) {
    if (partitioned) {
        partitions_.emplace(caller, worker);
    } else {
        partitions_.erase({caller, worker});
    }
}

void fake_workers::set_loss_rates(std::uint32_t calls_permille, std::uint32_t answers_permille) {
    options_.lost_calls_permille = calls_permille;
    options_.lost_answers_permille = answers_permille;
}

wire::WorkerList fake_workers::list() const {
    wire::WorkerList listed;
    for (const auto& [id, facts] : listed_) {
        *listed.add_workers() = facts;
    }
    return listed;
}

std::vector<worker_id> fake_workers::names() const {
    std::vector<worker_id> listed;
    listed.reserve(listed_.size());
    for (const auto& [id, facts] : listed_) {
        listed.push_back(id);
    }
    return listed;
}

bool fake_workers::is_partitioned(const std::string& caller, const worker_id& worker) const {
    return partitions_.count({caller, worker}) != 0 || partitions_.count({"", worker}) != 0;
}

bool fake_workers::should_lose(std::uint32_t permille) {
    return permille != 0 && loop_.random() % permille_scale < permille;
}

duration fake_workers::random_delay() {
    const auto span = options_.max_delay - options_.min_delay;
    return options_.min_delay +
           duration{loop_.random() % (static_cast<std::uint64_t>(span.count()) + 1)};
}

}  // namespace baobabrack::fakes
