#ifndef BAOBABRACK_LEDGER_REPLICA_HPP
#define BAOBABRACK_LEDGER_REPLICA_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/ledger/replay.hpp"
#include "baobabrack/ledger/snapshot_search.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/services/log_service.hpp"

namespace baobabrack {

/// What a replica is doing.
enum class replica_phase {
    /// Looks for the newest whole snapshot in the log.
    searching,
    /// Applies the log's entries and follows its end.
    following,
    /// Records that it needs are gone and no snapshot replaces them: waits for one.
    stranded,
};

std::string_view to_string(replica_phase phase);

struct replica_counters {
    std::uint64_t reads = 0;
    std::uint64_t failed_reads = 0;
    /// How often records were gone before they were read.
    std::uint64_t lost_positions = 0;
    std::uint64_t snapshots_loaded = 0;
    std::uint64_t snapshots_refused = 0;
};

/// This process's copy of the replicated state: finds a start in the log, then follows its end.
///
/// Records that are gone before they were read are never passed over: the state is replaced by a
/// newer whole snapshot, or stays where it is and says so.
class replica {
public:
    struct options {
        /// Pause at the end of the log; a service that waits at the end needs none.
        duration poll_interval = std::chrono::milliseconds{5};
        duration backoff_least = std::chrono::milliseconds{20};
        duration backoff_most = std::chrono::seconds{1};
        /// Entries a read asks for.
        std::size_t page_entries = 256;
        /// Without a successful read for this long, the replica is not healthy.
        duration silence_limit = std::chrono::seconds{3};
    };

    /// Called after each batch was applied, in the order of the log.
    using listener = std::function<void(const replayed_batch&)>;
    /// Called after a snapshot has replaced the state.
    using reset_listener = std::function<void()>;

    /// @param states parts of the state, see `replay`; they must outlive the replica
    replica(runtime& loop, log_service& log, options opts, std::vector<replicated_state*> states);

    /// Begins to search for a start and to follow; harmless when it runs already.
    void start();

    /// Reads at once instead of waiting for the poll interval.
    void wake();

    replica_phase phase() const { return phase_; }

    /// @return offset of the next entry to apply
    log_offset next_offset() const { return replay_.next_offset(); }

    /// @return whether the state has once been as new as the log's end, or came from a peer
    bool ready() const { return ready_; }

    /// @return whether the log was read recently and nothing that was needed is lost
    bool healthy() const;

    /// @return time since the last successful read, or since the start
    duration since_last_read() const { return loop_.now() - last_read_; }

    /// @return what keeps the replica from following, if anything
    const std::optional<failure>& trouble() const { return trouble_; }

    void on_applied(listener notify) { listeners_.push_back(std::move(notify)); }
    void on_reset(reset_listener notify) { reset_listeners_.push_back(std::move(notify)); }

    std::uint64_t digest() const { return replay_.digest(); }

    /// @return the whole state, for a peer or for the log
    std::string save_snapshot() const { return replay_.save(); }

    /// Replaces the state by a newer one, as a peer gave it, and goes on from there.
    ///
    /// @return `expired` if this state is newer, `invalid` if it cannot be decoded; unchanged then
    result<void> load_snapshot(std::string_view snapshot);

    /// @return the offset below which the newest whole snapshot seen in the log holds everything
    std::optional<log_offset> snapshot_covers() const { return snapshot_covers_; }

    /// @return the log's oldest kept offset, as the last read gave it
    log_offset oldest_kept() const { return oldest_kept_; }

    const replay& state() const { return replay_; }
    const replica_counters& counters() const { return counters_; }

private:
    void read_later(duration delay);
    void read_now();
    void take_answer(const result<log_page>& answer);
    void take_failure(const failure& error);
    void take_page(const log_page& page);
    void follow(const log_page& page);
    bool apply_entries(const log_page& page);
    void apply(const log_entry& entry);
    void note_chunks(const replayed_batch& replayed);
    void search(const log_page& page);
    void finish_search();
    void follow_from_here();
    bool load_found(const whole_snapshot& found);
    void begin_search();
    void strand(failure why);
    void back_off();

    runtime& loop_;
    log_service& log_;
    options options_;
    replay replay_;
    replica_phase phase_ = replica_phase::searching;
    snapshot_search search_;
    // Tells when a snapshot that passes by is whole.
    snapshot_assembler passing_{{.keep_bytes = false}};
    std::optional<log_offset> snapshot_covers_;
    log_offset oldest_kept_{0};
    bool started_ = false;
    bool reading_ = false;
    bool wake_pending_ = false;
    bool ready_ = false;
    std::uint64_t generation_ = 0;
    duration backoff_;
    time_point last_read_;
    std::optional<failure> trouble_;
    replica_counters counters_;
    std::vector<listener> listeners_;
    std::vector<reset_listener> reset_listeners_;
    scoped_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack

#endif
