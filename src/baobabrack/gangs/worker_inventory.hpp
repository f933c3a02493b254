#ifndef BAOBABRACK_GANGS_WORKER_INVENTORY_HPP
#define BAOBABRACK_GANGS_WORKER_INVENTORY_HPP

#include <map>
#include <memory>
#include <set>

#include "baobabrack/gangs/gang_context.hpp"
#include "baobabrack/services/worker_service.hpp"
#include "baobabrack/units/ids.hpp"

namespace baobabrack {

class gang_proposals;

/// Keeps the fleet as the platform's inventory lists it: workers that are new or were replaced
/// join once they answer, and workers that are no longer listed leave.
class worker_inventory {
public:
    worker_inventory(gang_context& context, gang_proposals& proposals);

    /// Takes in the platform's whole list.
    void heard(const wire::WorkerList& list);

    /// @return whether the platform has been heard and does not list the worker
    bool is_gone(const worker_id& id) const;

private:
    void probe(const wire::WorkerFacts& facts);
    void propose_joined(const wire::WorkerFacts& facts);
    void propose_left(const worker_id& id, incarnation version);
    bool is_known(const wire::WorkerFacts& facts) const;

    gang_context& context_;
    gang_proposals& proposals_;
    bool has_heard_ = false;
    std::map<worker_id, wire::WorkerFacts> listed_;
    std::set<worker_id> probing_;
    std::shared_ptr<int> alive_;
};

}  // namespace baobabrack

#endif
