#ifndef BAOBABRACK_GANGS_PERSISTENT_RECORDS_HPP
#define BAOBABRACK_GANGS_PERSISTENT_RECORDS_HPP

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "baobabrack/records.pb.h"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

class proposer;
class runtime;

/// Records that must get into the log sooner or later, through outages and lost answers. Only for
/// records that are void or without effect when they are applied twice.
class persistent_records {
public:
    struct options {
        duration patience = std::chrono::seconds{3};
        duration retry_interval = std::chrono::seconds{1};
    };

    persistent_records(proposer& records, runtime& loop, options opts);

    /// Proposes a record until it is applied, refused, or no longer needed.
    ///
    /// @param key    names the record; while one of the same key is under way, nothing is done
    /// @param record what to append
    /// @param needed asked before each further try
    void put(const std::string& key, wire::Record record, std::function<bool()> needed);

    /// @return whether a record of this key is under way
    bool pending(const std::string& key) const { return keys_->count(key) != 0; }

    /// @return how many records are under way
    std::size_t size() const { return keys_->size(); }

private:
    struct attempt;

    void propose(const std::shared_ptr<attempt>& next);

    proposer& records_;
    runtime& loop_;
    options options_;
    // Shared with callbacks, which may come after this object is gone.
    std::shared_ptr<std::set<std::string>> keys_;
};

}  // namespace baobabrack

#endif
