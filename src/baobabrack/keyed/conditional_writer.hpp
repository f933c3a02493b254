#ifndef BAOBABRACK_KEYED_CONDITIONAL_WRITER_HPP
#define BAOBABRACK_KEYED_CONDITIONAL_WRITER_HPP

#include <functional>
#include <memory>
#include <vector>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

/// Appends to a topic that one writer at a time extends, each batch exactly once: every append
/// names the end it expects. An append whose answer was lost is sent again with the same expected
/// end, so at most one of the copies takes effect; on a conflict the records at that offset tell
/// whether it was this writer's own copy.
///
/// Batches of two writers must differ, so each should hold something that only its writer says.
class conditional_writer {
public:
    enum class outcome {
        stored,
        /// Another writer has extended the topic; this writer must not go on.
        superseded,
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

    /// Forgets what was under way and expects the topic to end here.
    void reset(log_offset end);

    /// Appends a batch; only one may be under way.
    void write(std::vector<keyed_record> records, done_handler done);

    bool busy() const { return busy_; }

    /// @return where the topic ends, as far as this writer knows
    log_offset end() const { return end_; }

    /// @return a moment at which no other writer had extended the topic: when the newest append
    ///         that succeeded was sent
    time_point last_confirmed() const { return proved_; }

    /// @return tries beyond the first of each batch
    std::uint64_t retries() const { return retries_; }

private:
    void send();
    void take_reply(const result<append_reply>& reply, time_point sent);
    void compare();
    void take_page(const result<keyed_page>& page);
    void retry(std::function<void()> again);
    void finish(outcome how);

    runtime& loop_;
    keyed_log& log_;
    options options_;
    log_offset end_;
    std::vector<keyed_record> records_;
    done_handler done_;
    bool busy_ = false;
    unsigned tries_ = 0;
    time_point proved_{};
    std::uint64_t retries_ = 0;
    std::uint64_t round_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    scoped_timer retry_timer_;
};

}  // namespace baobabrack

#endif
