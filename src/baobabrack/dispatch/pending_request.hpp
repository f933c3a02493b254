#ifndef BAOBABRACK_DISPATCH_PENDING_REQUEST_HPP
#define BAOBABRACK_DISPATCH_PENDING_REQUEST_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/dispatch/caller_request.hpp"
#include "baobabrack/dispatch/fair_queue.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

/// A request between its submission and its end.
struct pending_request {
    explicit pending_request(runtime& loop) : deadline_timer(loop), retry_timer(loop) {}

    request_number number = 0;
    caller_request request;
    /// Empty once the caller has been answered.
    std::function<void(caller_answer)> done;
    workspace_id workspace;
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t weight = 1;
    std::uint64_t region_byte_limit = 0;
    bool idempotent = false;
    time_point submitted{};
    time_point deadline{};
    std::optional<claim_token> claim;
    /// Targets that failed it.
    std::vector<target_id> tried;
    std::uint32_t sends = 0;
    /// Whether a send has not been proved to have run nothing.
    bool may_have_run = false;
    /// Whether only the byte budget kept it from a target when one was last looked for.
    bool over_budget = false;
    /// Whether a fence has been asked for and has not answered.
    bool fencing = false;
    /// The newest exchange under way; zero for none.
    std::uint64_t exchange = 0;
    /// Earlier exchanges that were overdue and may still answer.
    std::vector<std::uint64_t> overdue;
    scoped_timer deadline_timer;
    scoped_timer retry_timer;
};

/// One send to a target that has not ended.
struct target_exchange {
    request_number request = 0;
    target_id target;
    incarnation version;
    time_point started{};
    time_point deadline{};
    bool across = false;
};

}  // namespace baobabrack

#endif
