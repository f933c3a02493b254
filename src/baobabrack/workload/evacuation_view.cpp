#include "baobabrack/workload/evacuation_view.hpp"

#include <utility>

#include "baobabrack/workload.pb.h"

namespace baobabrack::workload {

std::optional<duration> max_evacuation_age(duration bound) {
    return bound > duration::zero() ? std::optional{bound - evacuation_margin} : std::nullopt;
}

evacuation_view::evacuation_view(data_centre_id own_zone, duration bound)
    : own_zone_(std::move(own_zone)), max_age_(max_evacuation_age(bound)) {
}

void evacuation_view::apply(const wire::WorkloadOrders& orders) {
    told_ = orders.has_evacuations();
    evacuated_.clear();
    confirmed_.reset();
    if (!told_) {
        return;
    }
    const auto& evacuations = orders.evacuations();
    for (const auto& zone : evacuations.data_centres()) {
        evacuated_.insert(data_centre_id{zone});
    }
    if (evacuations.confirmed()) {
        const time_point sent{duration{static_cast<std::int64_t>(orders.report_sent_at_us())}};
        confirmed_ = sent + std::chrono::milliseconds{evacuations.confirmed_ms()};
    }
}

bool evacuation_view::is_evacuated(const data_centre_id& worker_zone) const {
    return evacuated_.contains(own_zone_) || evacuated_.contains(worker_zone);
}

// Orders without the information come from a leader of an earlier version, which starts runs as if
// no bound were known.
bool evacuation_view::is_recent(time_point now) const {
    return !told_ || !max_age_ || (confirmed_ && now - *confirmed_ < *max_age_);
}

}  // namespace baobabrack::workload
