#ifndef BAOBABRACK_LEDGER_LOG_WRITER_HPP
#define BAOBABRACK_LEDGER_LOG_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/ledger/replica.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/services/log_service.hpp"

namespace baobabrack {

struct log_writer_counters {
    std::uint64_t proposals = 0;
    std::uint64_t appends = 0;
    std::uint64_t appended_bytes = 0;
    std::uint64_t retries = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t over_limit = 0;
    std::uint64_t log_down = 0;
    std::uint64_t withdrawn = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t refused = 0;
    std::uint64_t applied = 0;
};

/// Appends proposed records to the platform's log, many to a batch, one append at a time, and
/// tells the outcome of each when this process's replica has replayed it.
///
/// A batch whose answer was lost is appended again unchanged, under the same sequence: whichever
/// copy stands first counts, and replay drops the others. A batch with the next sequence voids
/// every copy that comes after it.
class log_writer : public proposer {
public:
    struct options {
        entry_id writer;
        /// Must be higher than that of every earlier process with this id.
        incarnation version;
        /// Wait before a batch is closed; zero closes it with the loop turn.
        duration batch_interval = duration::zero();
        /// Time between two appends: the least, and the most that it grows to while the log says
        /// that its limit is reached. So all writers together settle within the limit.
        duration append_interval = std::chrono::milliseconds{10};
        duration append_interval_most = std::chrono::milliseconds{500};
        duration backoff_least = std::chrono::milliseconds{20};
        duration backoff_most = std::chrono::seconds{1};
        std::size_t most_records = 512;
        std::size_t most_bytes = 512U << 10U;
        /// Proposals that may wait; more are refused as `exhausted`.
        std::size_t most_waiting = 100'000;
    };

    /// @param reader replays the log for this process; it must outlive the writer's callbacks
    log_writer(runtime& loop, log_service& log, replica& reader, options opts);
    ~log_writer() override;

    /// Also fails as `fenced` when a newer process with this id has written, and as `exhausted`
    /// when too many proposals wait.
    void propose(wire::Record record, duration patience, callback done) override;

    /// @return proposals that were not sent yet
    std::size_t waiting() const { return waiting_.size(); }

    /// @return whether an append is on its way or its fate is open
    bool busy() const { return flight_.has_value(); }

    /// @return the present time between two appends
    duration pace() const { return pace_; }

    const log_writer_counters& counters() const { return counters_; }

private:
    struct proposal {
        wire::Record record;
        std::size_t bytes = 0;
        callback done;
        timer_id patience = timer_id::none;
        bool sent = false;
        bool settled = false;
    };
    using proposal_ptr = std::shared_ptr<proposal>;

    struct sent_batch {
        std::uint64_t sequence = 0;
        std::vector<proposal_ptr> proposals;
        // Known once the append was answered.
        log_offset offset;
    };
    struct flight {
        sent_batch sent;
        std::string payload;
        // An earlier try may have taken effect, so the batch must stay as it is.
        bool uncertain = false;
    };

    void flush_later(duration delay);
    void flush();
    bool collect();
    void send();
    void take_answer(std::uint64_t sequence, const result<log_offset>& answer);
    void land(log_offset offset);
    void lose_answer();
    void take_back();
    void refuse_flight(const failure& error);
    void back_off();
    void slow_down();
    void speed_up();
    void refuse_later(callback done, failure why);
    void run_out(const proposal_ptr& late);
    void take_replayed(const replayed_batch& replayed);
    void settle_before(std::uint64_t sequence);
    void settle_batch(const sent_batch& sent, const replayed_batch& replayed);
    void settle_skipped();
    void settle_all(const sent_batch& sent, const failure& why);
    void settle(const proposal_ptr& one, const result<record_position>& outcome);
    static bool all_settled(const sent_batch& sent);

    runtime& loop_;
    log_service& log_;
    replica& replica_;
    options options_;
    std::deque<proposal_ptr> waiting_;
    std::optional<flight> flight_;
    // Appended, but not replayed yet.
    std::deque<sent_batch> landed_;
    std::uint64_t sequence_ = 0;
    bool appending_ = false;
    bool fenced_ = false;
    duration backoff_;
    duration pace_;
    time_point next_append_{};
    log_writer_counters counters_;
    scoped_timer flush_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack

#endif
