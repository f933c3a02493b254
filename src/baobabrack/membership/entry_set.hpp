#ifndef BAOBABRACK_MEMBERSHIP_ENTRY_SET_HPP
#define BAOBABRACK_MEMBERSHIP_ENTRY_SET_HPP

#include <cstdint>
#include <map>
#include <utility>

#include "baobabrack/ledger/replicated_state.hpp"
#include "baobabrack/request_state.pb.h"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// The entries that have joined, from which the shares of the targets' limits are computed, and the
/// incarnations that left without draining, whose requests may still be running.
class entry_set : public replicated_state {
public:
    using incarnation_key = std::pair<entry_id, incarnation>;

    struct options {
        /// How long a departed incarnation is retained, in log time. Must exceed the grace period
        /// of every entry, which each entry measures by its own clock, and must be the same on
        /// every entry.
        std::chrono::milliseconds departed_retention = std::chrono::hours{1};
    };

    entry_set() : entry_set(options{}) {}
    explicit entry_set(options opts) : options_(opts) {}

    std::string_view name() const override { return "entries"; }
    bool handles(const wire::Record& record) const override;
    result<void> apply(const wire::Record& record, const record_position& position) override;
    std::string save() const override;
    result<void> load(std::string_view data) override;

    /// @return the current incarnation of the entry; null if the entry has not joined
    const wire::KeptEntry* find(const entry_id& entry) const;

    /// @return whether the given incarnation is the one that has joined
    bool is_joined(const entry_id& entry, incarnation version) const;

    /// @return a counter that increases with every change; local to this process
    std::uint64_t change_count() const { return change_count_; }

    const std::map<entry_id, wire::KeptEntry>& entries() const { return entries_; }
    const std::map<incarnation_key, wire::DepartedEntry>& departed() const { return departed_; }

private:
    result<void> apply_join(const wire::EntryJoined& joined, const record_position& position);
    result<void> apply_leave(const wire::EntryLeft& left, const record_position& position);
    void record_departure(const wire::EntryJoined& departing, const record_position& position,
                          bool replaced);

    options options_;
    std::uint64_t change_count_ = 0;
    std::map<entry_id, wire::KeptEntry> entries_;
    std::map<incarnation_key, wire::DepartedEntry> departed_;
};

}  // namespace baobabrack

#endif
