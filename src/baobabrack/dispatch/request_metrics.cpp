#include "baobabrack/dispatch/request_metrics.hpp"

#include <string>
#include <string_view>

namespace baobabrack {

namespace {

constexpr std::array<std::string_view, retry_reason_count> retry_names{
    "not_sent", "refused", "broken", "timed_out", "error_answer"};
constexpr std::array<std::string_view, drop_reason_count> drop_names{"late", "crossed", "truncated",
                                                                     "oversized"};

}  // namespace

request_metrics::request_metrics(metrics_registry& registry)
    : registry_(registry),
      submitted_(registry.get_counter("baobabrack_requests_total", "Requests submitted.")),
      sent_(registry.get_counter("baobabrack_request_sends_total", "Sends to targets.")),
      claims_(registry.get_counter("baobabrack_claims_proposed_total",
                                   "Idempotency keys put to the log.")),
      replayed_results_(
          registry.get_counter("baobabrack_replayed_results_total",
                               "Requests answered with the kept result of an earlier attempt.")),
      queued_(registry.get_gauge("baobabrack_requests_queued", "Requests waiting for a slot.")),
      exchanges_(registry.get_gauge("baobabrack_exchanges", "Exchanges with targets under way.")) {
    for (std::size_t i = 0; i < retry_reason_count; ++i) {
        retried_[i] = &registry.get_counter("baobabrack_request_retries_total",
                                            "Requests sent again, by what happened before.",
                                            {{"reason", std::string(retry_names[i])}});
    }
    for (std::size_t i = 0; i < drop_reason_count; ++i) {
        dropped_[i] = &registry.get_counter("baobabrack_answers_dropped_total",
                                            "Answers of targets that were not passed on.",
                                            {{"reason", std::string(drop_names[i])}});
    }
}

void request_metrics::answered(const std::string& request_class, duration taken) {
    registry_
        .get_latency_histogram("baobabrack_request_seconds",
                               "Time from submission to a whole answer.",
                               {{"class", request_class}})
        .record(taken);
}

void request_metrics::refused(refusal_reason reason, ran_state ran) {
    registry_
        .get_counter(
            "baobabrack_request_refusals_total", "Refusals by reason and by what ran.",
            {{"reason", std::string(to_string(reason))}, {"ran", std::string(to_string(ran))}})
        .add();
}

void request_metrics::crossed_regions(const workspace_id& workspace, std::uint64_t bytes) {
    registry_
        .get_counter("baobabrack_cross_region_bytes_total", "Bytes sent across regions.",
                     {{"workspace", workspace.get()}})
        .add(bytes);
}

void request_metrics::set_waiting(std::size_t queued, std::size_t exchanges) {
    queued_.set(static_cast<double>(queued));
    exchanges_.set(static_cast<double>(exchanges));
}

}  // namespace baobabrack
