#ifndef BAOBABRACK_LEDGER_DUPLICATE_FILTER_HPP
#define BAOBABRACK_LEDGER_DUPLICATE_FILTER_HPP

#include <cstdint>
#include <map>
#include <string>

#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

namespace wire {
class LogBatch;
class ReplayProgress;
}  // namespace wire

/// Whether a batch counts when it is replayed.
enum class batch_verdict {
    fresh,
    /// Its sequence, or a later one of its incarnation, was replayed before.
    duplicate,
    /// A newer incarnation of its writer was replayed before.
    fenced,
};

/// Recognises batches that were appended twice or too late. Part of the replayed state.
class duplicate_filter {
public:
    /// Judges a batch and remembers it if it is fresh.
    ///
    /// @param log_time the batch's monotonic time
    batch_verdict admit(const wire::LogBatch& batch, wall_time log_time);

    /// @return the sequence last replayed of a writer's incarnation; zero if there is none
    std::uint64_t last_sequence(const entry_id& writer, incarnation version) const;

    /// @return how many writers are remembered
    std::size_t size() const { return writers_.size(); }

    void save(wire::ReplayProgress& progress) const;
    void load(const wire::ReplayProgress& progress);

private:
    struct writer_progress {
        std::uint64_t version = 0;
        std::uint64_t sequence = 0;
        wall_time last{};
    };

    void forget_before(wall_time oldest);

    std::map<std::string, writer_progress> writers_;
};

}  // namespace baobabrack

#endif
