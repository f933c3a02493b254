#include "baobabrack/dispatch/caller_request.hpp"

#include <array>

namespace baobabrack {

namespace {

constexpr std::array<std::string_view, refusal_reason_count> reason_names{
    "unknown_workspace", "unknown_class",    "draining",      "key_missing",   "key_malformed",
    "key_too_old",       "key_in_future",    "key_reused",    "key_settled",   "claim_elsewhere",
    "claim_unavailable", "claims_exhausted", "queue_full",    "shed",          "deadline",
    "no_target",         "no_share",         "region_budget", "retries_spent", "answer_lost",
    "target_failed",
};

}  // namespace

std::string_view to_string(refusal_reason reason) {
    return reason_names[static_cast<std::size_t>(reason)];
}

}  // namespace baobabrack
