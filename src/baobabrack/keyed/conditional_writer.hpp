#ifndef BAOBABRACK_KEYED_CONDITIONAL_WRITER_HPP
#define BAOBABRACK_KEYED_CONDITIONAL_WRITER_HPP

#include <functional>
#include <memory>
#include <vector>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

/// Appends batches to a topic that has one writer at a time, each batch exactly once. Every append
/// carries the end offset that the writer expects. An append whose reply was lost is retried with
/// the same expected end, so at most one copy takes effect. After a conflict on a retry, the writer
/// reads the records at that offset to find out whether they are its own batch.
///
/// Batches of different writers must differ, so each batch should contain a value that is unique to
/// its writer.
class conditional_writer {
public:
    enum class outcome {
        stored,
        /// Another writer has extended the topic. This writer must stop appending.
        superseded,
        /// The store does not take the batch: it is larger than its limits, or was refused as
        /// invalid. Nothing was stored, and the same batch would be refused again.
        rejected,
    };
    struct options {
        topic_id topic;
        duration append_timeout = std::chrono::milliseconds{800};
        duration retry_delay = std::chrono::milliseconds{50};
        duration max_retry_delay = std::chrono::milliseconds{400};
    };
    using done_handler = std::function<void(outcome)>;

    conditional_writer(runtime& loop, keyed_log& log, options opts);
    conditional_writer(const conditional_writer&) = delete;
    conditional_writer& operator=(const conditional_writer&) = delete;
    ~conditional_writer();

    /// Discards the batch in progress and sets the end offset that the next append expects.
    void reset(log_offset end);

    /// Appends a batch. Only one batch may be in progress at a time.
    void write(std::vector<keyed_record> records, done_handler done);

    bool busy() const { return busy_; }

    /// @return the end offset of the topic, as known to this writer
    log_offset end() const { return end_; }

    /// @return a time at which no other writer had extended the topic: the send time of the last
    ///         append that was confirmed by its reply
    time_point last_confirmed() const { return last_confirmed_; }

    /// @return the number of retried calls over all batches
    std::uint64_t retries() const { return retries_; }

private:
    void send();
    void log_rejection(const std::string& reason) const;
    void handle_reply(const result<append_reply>& reply, time_point sent_at);
    void read_back();
    void handle_page(const result<keyed_page>& page);
    void retry(std::function<void()> operation);
    void finish(outcome batch_outcome);

    runtime& loop_;
    keyed_log& log_;
    options options_;
    log_offset end_;
    std::vector<keyed_record> records_;
    done_handler done_;
    bool busy_ = false;
    unsigned attempts_ = 0;
    time_point last_confirmed_{};
    std::uint64_t retries_ = 0;
    std::uint64_t generation_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    scoped_timer retry_timer_;
};

}  // namespace baobabrack

#endif
