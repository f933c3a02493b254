#include "baobabrack/gangs/persistent_records.hpp"

#include <utility>

#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

struct persistent_records::attempt {
    std::string key;
    wire::Record record;
    std::function<bool()> needed;
};

persistent_records::persistent_records(proposer& records, runtime& loop, options opts)
    : records_(records),
      loop_(loop),
      options_(opts),
      keys_(std::make_shared<std::set<std::string>>()) {
}

void persistent_records::put(const std::string& key, wire::Record record,
                             std::function<bool()> needed) {
    if (!keys_->insert(key).second) {
        return;
    }
    propose(std::make_shared<attempt>(attempt{key, std::move(record), std::move(needed)}));
}

void persistent_records::propose(const std::shared_ptr<attempt>& next) {
    const std::weak_ptr<std::set<std::string>> alive = keys_;
    records_.propose(next->record, options_.patience,
                     [this, alive, next](const result<record_position>& applied) {
                         const auto keys = alive.lock();
                         if (!keys) {
                             return;
                         }
                         const bool retry =
                             !applied && (applied.error().kind == failure_kind::unavailable ||
                                          applied.error().kind == failure_kind::timed_out ||
                                          applied.error().kind == failure_kind::exhausted);
                         if (!retry) {
                             keys->erase(next->key);
                             return;
                         }
                         loop_.schedule(options_.retry_interval, [this, alive, next] {
                             const auto still = alive.lock();
                             if (!still) {
                                 return;
                             }
                             if (next->needed()) {
                                 propose(next);
                             } else {
                                 still->erase(next->key);
                             }
                         });
                     });
}

}  // namespace baobabrack
