#ifndef BAOBABRACK_WORKLOAD_INTAKE_WRITER_HPP
#define BAOBABRACK_WORKLOAD_INTAKE_WRITER_HPP

#include <functional>
#include <map>
#include <memory>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/workload/peer_pings.hpp"

namespace baobabrack::workload {

/// Stores submissions and cancellations, directly or through another scheduler while the store
/// refuses this one.
///
/// Storing a record repeatedly is harmless, since only the first record of a job counts.
class intake_writer {
public:
    /// Result of a write.
    enum class receipt {
        stored,
        /// Nothing was stored and nothing will be.
        not_stored,
        /// The record may have been stored, or may be stored later.
        unknown,
    };
    using receipt_handler = std::function<void(receipt)>;
    using entry_handler = std::function<void(const keyed_entry&)>;

    struct options {
        topic_id topic;
        std::string zmq_endpoint;
    };

    /// @param store_available returns whether the store has answered the latest calls; while it has
    ///                        not, no new record is sent to it, so that a refusal is certain
    /// @param on_stored is called with each stored record, before its receipt is delivered
    intake_writer(options opts, runtime& loop, keyed_log& log, peer_network& network,
                  const peer_pings& peers, std::function<bool()> store_available,
                  entry_handler on_stored);
    intake_writer(const intake_writer&) = delete;
    intake_writer& operator=(const intake_writer&) = delete;
    ~intake_writer();

    /// Stores a record. The handler runs once, at the latest when the deadline has passed.
    void write(keyed_record record, duration deadline, receipt_handler done);

    /// Stores a record for another scheduler and replies with the receipt.
    void handle(const wire::WorkloadIntake& message);

    /// Completes or retries a write that was forwarded to another scheduler.
    void handle(const wire::WorkloadIntakeReply& message);

private:
    struct pending_write;
    using pending_write_ptr = std::shared_ptr<pending_write>;

    void start_attempt(const pending_write_ptr& pending);
    void append(const pending_write_ptr& pending, duration timeout);
    void forward(const pending_write_ptr& pending, const std::string& peer, duration timeout);
    void handle_append_reply(const pending_write_ptr& pending, const result<append_reply>& reply);
    void handle_failure(const pending_write_ptr& pending, failure_kind cause);

    options options_;
    runtime& loop_;
    keyed_log& log_;
    peer_network& network_;
    const peer_pings& peers_;
    std::function<bool()> store_available_;
    entry_handler on_stored_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, pending_write_ptr> forwarded_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack::workload

#endif
