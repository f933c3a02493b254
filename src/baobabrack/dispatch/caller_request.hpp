#ifndef BAOBABRACK_DISPATCH_CALLER_REQUEST_HPP
#define BAOBABRACK_DISPATCH_CALLER_REQUEST_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "baobabrack/services/target_service.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/ran_state.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// A request as a caller submits it.
struct caller_request {
    /// Id, name or former name of the workspace, as the caller wrote it.
    std::string workspace;
    std::string request_class;
    std::vector<http_header> headers;
    std::string body;
    /// The caller's idempotency key, `<issue time in Unix milliseconds>-<anything>`; needed for
    /// classes that are not idempotent.
    std::optional<idempotency_key> key;
    /// Which submission of the key this is, from 1; zero when the caller does not say. Only a
    /// first attempt can be told `ran: no` without the log.
    std::uint32_t attempt = 0;
    /// Time left for an answer; zero takes the class's default.
    duration deadline{};
    /// Where the caller is, as far as it says; for the report of confused callers.
    region_id caller_region;
};

/// Why a request was refused.
enum class refusal_reason {
    unknown_workspace,
    unknown_class,
    draining,
    key_missing,
    key_malformed,
    key_too_old,
    key_in_future,
    key_reused,
    key_settled,
    claim_elsewhere,
    claim_unavailable,
    claims_exhausted,
    queue_full,
    shed,
    deadline,
    no_target,
    no_share,
    region_budget,
    retries_spent,
    answer_lost,
    target_failed,
};

inline constexpr std::size_t refusal_reason_count =
    static_cast<std::size_t>(refusal_reason::target_failed) + 1;

/// @return the reason as it stands in refusals and metrics, such as "queue_full"
std::string_view to_string(refusal_reason reason);

/// A whole answer of a target to this very request.
struct whole_answer {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
};

/// What a caller gets in place of an answer.
///
/// `ran` speaks of this attempt and every earlier one of the same key.
struct refusal {
    refusal_reason reason = refusal_reason::no_target;
    ran_state ran = ran_state::unknown;
    std::string remedy;
    /// When trying again may help; zero when it does not.
    duration retry_after{};
};

using caller_answer = std::variant<whole_answer, refusal>;

}  // namespace baobabrack

#endif
