#ifndef BAOBABRACK_WORKLOAD_INTAKE_WRITER_HPP
#define BAOBABRACK_WORKLOAD_INTAKE_WRITER_HPP

#include <functional>
#include <map>
#include <memory>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/workload/peer_pings.hpp"

namespace baobabrack::workload {

/// Stores submissions and cancels: straight away, or by way of another scheduler while the store
/// refuses this one. Repetitions do no harm, as the first record of a job stands.
class intake_writer {
public:
    /// What became of a record.
    enum class receipt {
        stored,
        /// Nothing was stored and nothing will be.
        not_stored,
        /// It may have been stored, or may be later.
        unknown,
    };
    using receipt_handler = std::function<void(receipt)>;
    using entry_handler = std::function<void(const keyed_entry&)>;

    struct options {
        topic_id topic;
        std::string zmq_endpoint;
    };

    /// @param store_answers says whether the store has answered the newest calls; while it does
    /// not,
    ///                      nothing is sent to it, so that a refusal is certain
    /// @param on_stored gets each record that was stored for this scheduler, before its receipt
    intake_writer(options opts, runtime& loop, keyed_log& log, peer_network& network,
                  const peer_pings& peers, std::function<bool()> store_answers,
                  entry_handler on_stored);
    intake_writer(const intake_writer&) = delete;
    intake_writer& operator=(const intake_writer&) = delete;
    ~intake_writer();

    /// The handler runs once, at the latest when the deadline has passed.
    void write(keyed_record record, duration deadline, receipt_handler done);

    /// Stores a record for another scheduler.
    void take(const wire::WorkloadIntake& message);

    void take(const wire::WorkloadIntakeReply& message);

private:
    struct pending;
    using pending_ptr = std::shared_ptr<pending>;

    void send(const pending_ptr& one);
    void append(const pending_ptr& one, duration timeout);
    void forward(const pending_ptr& one, const std::string& peer, duration timeout);
    void answered(const pending_ptr& one, const result<append_reply>& reply);
    void fail(const pending_ptr& one, failure_kind why);

    options options_;
    runtime& loop_;
    keyed_log& log_;
    peer_network& network_;
    const peer_pings& peers_;
    std::function<bool()> store_answers_;
    entry_handler on_stored_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, pending_ptr> forwarded_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack::workload

#endif
