#ifndef BAOBABRACK_LEDGER_REPLICATED_STATE_HPP
#define BAOBABRACK_LEDGER_REPLICATED_STATE_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

namespace wire {
class Record;
}

/// Where a record stands: the same for every replica.
struct record_position {
    log_offset offset;
    /// Position within the batch.
    std::uint32_t index = 0;
    /// The writer's wall clock, made monotonic over the log.
    wall_time written_at{};
    entry_id writer;
    incarnation writer_incarnation;
};

/// One part of the state that every entry replays from the log.
///
/// It is a deterministic function of the records: no clock, no randomness, no iteration order
/// that depends on the process.
class replicated_state {
public:
    replicated_state() = default;
    replicated_state(const replicated_state&) = delete;
    replicated_state& operator=(const replicated_state&) = delete;
    virtual ~replicated_state() = default;

    /// @return the name of the part's section in snapshots
    virtual std::string_view name() const = 0;

    /// @return whether the record's kind belongs to this part
    virtual bool handles(const wire::Record& record) const = 0;

    /// Applies a record, or refuses it without any effect.
    ///
    /// @return success, or the reason why the record is void at its offset
    virtual result<void> apply(const wire::Record& record, const record_position& position) = 0;

    /// @return the whole state; equal states give equal bytes
    virtual std::string save() const = 0;

    /// Replaces the state by one that `save` made, also one of an older version.
    ///
    /// @return `invalid` if the bytes are not such a state; the state is then unchanged
    virtual result<void> load(std::string_view data) = 0;
};

}  // namespace baobabrack

#endif
