#include "baobabrack/gangs/worker_inventory.hpp"

#include <utility>

#include "baobabrack/gangs/gang_proposals.hpp"
#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/gangs/responsibility.hpp"

namespace baobabrack {

worker_inventory::worker_inventory(gang_context& context, gang_proposals& proposals)
    : context_(context), proposals_(proposals), alive_(std::make_shared<int>()) {
}

void worker_inventory::heard(const wire::WorkerList& list) {
    has_heard_ = true;
    listed_.clear();
    for (const auto& facts : list.workers()) {
        listed_.emplace(worker_id{facts.worker()}, facts);
    }
    for (const auto& [id, facts] : listed_) {
        if (context_.duty.is_mine(id) && !is_known(facts)) {
            probe(facts);
        }
    }
    for (const auto& [id, known] : context_.state.workers().workers()) {
        if (listed_.count(id) == 0 && context_.duty.is_mine(id)) {
            propose_left(id, known.version);
        }
    }
}

bool worker_inventory::is_gone(const worker_id& id) const {
    return has_heard_ && listed_.count(id) == 0;
}

void worker_inventory::probe(const wire::WorkerFacts& facts) {
    const worker_id id{facts.worker()};
    if (!probing_.insert(id).second) {
        return;
    }
    wire::WorkerCall call;
    call.set_worker_incarnation(facts.incarnation());
    call.mutable_sync();
    context_.workers.call(id, call,
                          [this, alive = std::weak_ptr<int>{alive_}, id,
                           facts](const result<wire::WorkerReply>& reply) {
                              if (alive.expired()) {
                                  return;
                              }
                              probing_.erase(id);
                              if (reply && reply.value().status() == wire::WORKER_OK) {
                                  propose_joined(facts);
                              }
                          });
}

void worker_inventory::propose_joined(const wire::WorkerFacts& facts) {
    proposals_.join(facts, [this, facts] {
        const auto listed = listed_.find(worker_id{facts.worker()});
        return listed != listed_.end() && !is_known(facts) &&
               listed->second.incarnation() == facts.incarnation();
    });
}

void worker_inventory::propose_left(const worker_id& id, incarnation version) {
    proposals_.leave(id, version, "gone", [this, id] { return is_gone(id); });
}

bool worker_inventory::is_known(const wire::WorkerFacts& facts) const {
    const auto* known = context_.state.workers().find(worker_id{facts.worker()});
    return known != nullptr && known->version.get() >= facts.incarnation();
}

}  // namespace baobabrack
