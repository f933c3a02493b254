#ifndef BAOBABRACK_DISPATCH_DISPATCHER_HPP
#define BAOBABRACK_DISPATCH_DISPATCHER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "baobabrack/dispatch/claim_keeper.hpp"
#include "baobabrack/dispatch/confused_callers.hpp"
#include "baobabrack/dispatch/fair_queue.hpp"
#include "baobabrack/dispatch/latency_estimate.hpp"
#include "baobabrack/dispatch/limit_shares.hpp"
#include "baobabrack/dispatch/pending_request.hpp"
#include "baobabrack/dispatch/region_budget.hpp"
#include "baobabrack/dispatch/request_metrics.hpp"
#include "baobabrack/dispatch/retry_budget.hpp"
#include "baobabrack/dispatch/target_book.hpp"
#include "baobabrack/dispatch/target_chooser.hpp"

namespace baobabrack {

/// Takes requests in at one entry and gives each a whole answer of its own or a true refusal.
///
/// Requests wait in a fair queue per service until a target has a slot of this entry's part free.
/// Idempotent ones are retried elsewhere under a budget; others run under a claim in the log and
/// are sent again only if it is proved that they did not run.
class dispatcher {
public:
    struct options {
        entry_id self;
        incarnation version;
        location place;
        duration default_deadline = std::chrono::seconds{10};
        /// Longer deadlines are cut to this.
        duration longest_deadline = std::chrono::seconds{30};
        std::uint32_t default_queue_limit = 200;
        /// Most requests of a service that wait, of all classes together.
        std::size_t most_queued = 1000;
        /// Most requests taken in and not finished, waiting for their claims or answers too.
        std::size_t most_pending = 5000;
        std::size_t largest_answer = std::size_t{64} * 1024 * 1024;
        std::uint32_t most_sends = 4;
        duration retry_backoff = std::chrono::milliseconds{5};
        duration longest_backoff = std::chrono::milliseconds{200};
        /// An answer is waited for at least this long before the request goes elsewhere.
        duration least_attempt = std::chrono::milliseconds{100};
        /// How long after its deadline a given-up request still holds its slot.
        duration linger = std::chrono::seconds{1};
        /// How long after its deadline the answer of a claimed request is still taken in.
        duration late_window = std::chrono::seconds{2};
        duration fence_patience = std::chrono::milliseconds{250};
        duration pump_interval = std::chrono::milliseconds{20};
        fair_queue::options queue;
        retry_budget::options retries;
        limit_shares::options shares;
        target_book::options targets;
        claim_keeper::options claims;
        /// Test only: sends a claimed request again although it may have run.
        bool resend_unknown = false;
        /// Test only: passes on whatever a target answers.
        bool trust_answers = false;
    };

    /// What the dispatcher acts on; all of it must outlive the dispatcher.
    struct context {
        runtime& loop;
        const directory& tickets;
        const target_registry& registry;
        const claim_state& claims;
        const entry_set& entries;
        proposer& log;
        target_service& targets;
        metrics_registry& metrics;
    };

    using answer_callback = std::function<void(caller_answer)>;

    dispatcher(const context& with, options opts);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Takes a request in.
    ///
    /// @param done runs once, possibly before this returns
    void submit(caller_request request, answer_callback done);

    /// Targets, tickets or entries have changed: looks anew for targets for what waits.
    void refresh();

    /// The local replica had read the whole log at this time.
    void log_seen(time_point as_of) { shares_.log_seen(as_of); }

    /// Another entry has replayed the log up to an offset, as its heartbeat says.
    void heard(const entry_id& peer, incarnation version, log_offset next_offset) {
        shares_.heard(peer, version, next_offset);
    }

    /// This process has joined anew under a higher incarnation.
    void rejoined(incarnation version);

    /// @return whether this entry takes requests and may use its shares of the targets' limits
    bool ready() { return !draining_ && shares_.usable(); }

    /// Refuses new requests from now on; those taken in are finished.
    void begin_drain() { draining_ = true; }

    /// @return requests that are not finished
    std::size_t in_flight() const { return pending_.size(); }

    /// @return claims whose result is not in the log yet
    std::size_t unsettled() const { return keeper_.unsettled(); }

    /// @return exchanges under way with all targets
    std::size_t exchanges() const { return exchanges_.size(); }

    /// @return whether nothing of this entry's requests is left anywhere: no request, no slot
    ///         that a given-up one may still use, and every claim settled in the log
    bool drained() const { return pending_.empty() && lingering_ == 0 && unsettled() == 0; }

    std::vector<confused_caller> confused() const { return confused_.report(); }

private:
    struct service_lane {
        explicit service_lane(const options& opts) : queue(opts.queue), retries(opts.retries) {}

        fair_queue queue;
        retry_budget retries;
        std::map<std::string, latency_estimate> latencies;
        latency_estimate all_latencies;
    };
    using request_pointer = std::shared_ptr<pending_request>;

    refusal unproved(const caller_request& request, bool idempotent, refusal_reason reason,
                     std::string remedy) const;
    void refuse_new(const answer_callback& done, refusal refused);
    const wire::Workspace* resolve(const caller_request& request);
    void admit(const request_pointer& pending, const wire::RequestClass& rules);
    bool make_room(service_lane& lane, const pending_request& added, std::uint32_t limit);
    void claim(const request_pointer& pending);
    void enqueue(const request_pointer& pending);
    fair_queue::item item_of(service_lane& lane, const pending_request& pending) const;

    service_lane& lane_of(const service_id& service);
    void pump(const service_id& service);
    bool too_late(service_lane& lane, const pending_request& pending) const;
    target_chooser::choice choose(service_lane& lane, const pending_request& pending);
    void arm_pump();

    void send(const request_pointer& pending, target_load& target, bool across);
    void arm_attempt(const request_pointer& pending);
    void attempt_overdue(const request_pointer& pending);
    void replied(std::uint64_t exchange, target_reply reply);
    bool belongs(std::uint64_t exchange, const target_reply& reply);
    bool has_guard(const target_id& target) const;
    void take_answer(const request_pointer& pending, const target_exchange& ended,
                     target_reply reply);
    void failed(const request_pointer& pending, const target_exchange& ended, exchange_outcome end);
    void fence(const request_pointer& pending, const target_exchange& ended);
    void fenced(const request_pointer& pending, ran_state ran);
    bool retry(const request_pointer& pending, retry_reason reason);
    void release_later(const target_exchange& ended);

    void deadline_passed(const request_pointer& pending);
    void abandon(const request_pointer& pending);
    void give_up(std::uint64_t exchange);
    void give_up_overdue(const request_pointer& pending);
    bool is_overdue(pending_request& pending, std::uint64_t exchange);
    void take_overdue(const request_pointer& pending, const target_exchange& ended,
                      target_reply reply);
    void late_window_passed(const request_pointer& pending);
    void finish(const request_pointer& pending, caller_answer answer);
    void refuse(const request_pointer& pending, refusal_reason reason, ran_state ran,
                std::string remedy, duration retry_after = {});
    refusal_reason waiting_reason(const pending_request& pending);
    void forget(const request_pointer& pending);

    context with_;
    options options_;
    request_metrics metrics_;
    limit_shares shares_;
    target_book book_;
    region_budget region_bytes_;
    target_chooser chooser_;
    claim_keeper keeper_;
    confused_callers confused_;
    std::map<service_id, service_lane> lanes_;
    std::unordered_map<request_number, request_pointer> pending_;
    std::unordered_map<std::uint64_t, target_exchange> exchanges_;
    std::uint64_t last_number_ = 0;
    // Slots of given-up requests that are not free yet.
    std::size_t lingering_ = 0;
    bool draining_ = false;
    bool pumping_ = false;
    scoped_timer pump_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack

#endif
