#include "baobabrack/dispatch/target_chooser.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace baobabrack {

namespace {

// A target of another data centre is taken when it is this much less loaded.
constexpr double other_data_centre_cost = 0.5;
// Targets with a free slot that are compared, and targets looked at to find them.
constexpr std::size_t most_compared = 16;
constexpr std::size_t most_looked_at = 256;
// Waiting here is worth it while this many times the expected answer time is left.
constexpr int patience_factor = 2;

}  // namespace

target_chooser::target_chooser(runtime& loop, const directory& tickets, target_book& book,
                               region_budget& budget, location own)
    : loop_(loop), tickets_(tickets), book_(book), budget_(budget), own_(std::move(own)) {
}

bool target_chooser::usable(const target_load& target, const routed_request& request) {
    const auto& tried = *request.tried;
    const bool failed = std::find(tried.begin(), tried.end(), target.id) != tried.end();
    return !failed && (request.idempotent || !target.probation);
}

double target_chooser::cost(const target_load& target, std::uint32_t free) const {
    const auto busy = static_cast<double>(target.held) / (target.held + free);
    const bool away = target.known->facts.location().data_centre() != own_.data_centre.get();
    return target.slowness * (1 + busy) * (1 + target.failure_rate) +
           (away ? other_data_centre_cost : 0);
}

target_load* target_chooser::best_in(const region_id& region, const routed_request& request) {
    const auto& targets = book_.in_region(request.service, region);
    const auto count = targets.size();
    const auto first = count > most_compared ? loop_.random() % count : 0;
    target_load* best = nullptr;
    auto least = std::numeric_limits<double>::max();
    std::size_t compared = 0;
    const auto looked_at = std::min(count, most_looked_at);
    for (std::size_t i = 0; i < looked_at && compared < most_compared; ++i) {
        auto* target = targets[(first + i) % count];
        const auto free = usable(*target, request) ? book_.free_slots(*target) : 0;
        if (free == 0) {
            continue;
        }
        ++compared;
        const auto estimate = cost(*target, free);
        if (estimate < least) {
            least = estimate;
            best = target;
        }
    }
    return best;
}

bool target_chooser::any_open_here(const service_id& service) {
    const auto& targets = book_.in_region(service, own_.region);
    return std::any_of(targets.begin(), targets.end(),
                       [&](const auto* target) { return book_.open(*target); });
}

target_chooser::choice target_chooser::choose(const routed_request& request) {
    if (auto* target = best_in(own_.region, request)) {
        return {.target = target};
    }
    const bool can_wait = request.left > patience_factor * request.expected;
    if (can_wait && any_open_here(request.service)) {
        return {};
    }
    return choose_across(request);
}

target_chooser::choice target_chooser::choose_across(const routed_request& request) {
    auto regions = book_.regions_of(request.service);
    std::erase(regions, own_.region);
    std::sort(regions.begin(), regions.end(), [&](const region_id& a, const region_id& b) {
        return tickets_.delay(own_.region, a) < tickets_.delay(own_.region, b);
    });
    for (const auto& region : regions) {
        const auto needed = request.expected + 2 * tickets_.delay(own_.region, region);
        auto* target = needed <= request.left ? best_in(region, request) : nullptr;
        if (target == nullptr) {
            continue;
        }
        if (!budget_.allows(request.workspace, request.bytes, request.region_byte_limit,
                            loop_.wall_now())) {
            return {.over_budget = true};
        }
        return {.target = target, .across = true};
    }
    return {};
}

}  // namespace baobabrack
