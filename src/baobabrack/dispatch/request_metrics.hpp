#ifndef BAOBABRACK_DISPATCH_REQUEST_METRICS_HPP
#define BAOBABRACK_DISPATCH_REQUEST_METRICS_HPP

#include <array>
#include <cstdint>

#include "baobabrack/dispatch/caller_request.hpp"
#include "baobabrack/metrics/registry.hpp"

namespace baobabrack {

/// Why a request is sent again.
enum class retry_reason { not_sent, refused, broken, timed_out, error_answer };

inline constexpr std::size_t retry_reason_count =
    static_cast<std::size_t>(retry_reason::error_answer) + 1;

/// Why an answer of a target was not passed on.
enum class drop_reason { late, crossed, truncated, oversized };

inline constexpr std::size_t drop_reason_count =
    static_cast<std::size_t>(drop_reason::oversized) + 1;

/// The dispatcher's metrics.
class request_metrics {
public:
    explicit request_metrics(metrics_registry& registry);

    void submitted() { submitted_.add(); }
    void answered(const std::string& request_class, duration taken);
    void refused(refusal_reason reason, ran_state ran);
    void sent() { sent_.add(); }
    void retried(retry_reason reason) { retried_[static_cast<std::size_t>(reason)]->add(); }
    void dropped(drop_reason reason) { dropped_[static_cast<std::size_t>(reason)]->add(); }
    void crossed_regions(const workspace_id& workspace, std::uint64_t bytes);
    void claim_proposed() { claims_.add(); }
    void replayed_result() { replayed_results_.add(); }
    void set_waiting(std::size_t queued, std::size_t exchanges);

private:
    metrics_registry& registry_;
    counter& submitted_;
    counter& sent_;
    counter& claims_;
    counter& replayed_results_;
    gauge& queued_;
    gauge& exchanges_;
    std::array<counter*, retry_reason_count> retried_{};
    std::array<counter*, drop_reason_count> dropped_{};
};

}  // namespace baobabrack

#endif
