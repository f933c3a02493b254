#include "baobabrack/placement/capacity_view.hpp"

#include <algorithm>

namespace baobabrack {

namespace {

constexpr std::size_t max_member_sizes = 24;
const resources nothing{};

}  // namespace

std::uint32_t capacity_view::fit(const resources& amount, const resources& unit) {
    return amount == nothing ? 0 : std::min(amount.fit_count(unit), worker_limit);
}

const resources& capacity_view::at(worker_slot slot) const {
    return slot < amounts_.size() ? amounts_[slot] : nothing;
}

std::uint32_t capacity_view::rack_accelerators(std::uint32_t rack) const {
    return rack < rack_accelerators_.size() ? rack_accelerators_[rack] : 0;
}

void capacity_view::set(worker_slot slot, const resources& amount) {
    if (slot >= amounts_.size()) {
        amounts_.resize(places_.slot_count());
    }
    const auto before = amounts_[slot];
    if (before == amount) {
        return;
    }
    amounts_[slot] = amount;
    const auto rack = places_.slot(slot).rack;
    rack_accelerators_.resize(places_.rack_count());
    rack_accelerators_[rack] += amount.accelerators.get() - before.accelerators.get();
    accelerators_ += amount.accelerators.get();
    accelerators_ -= before.accelerators.get();
    for (const auto& sums : sums_) {
        change(*sums, slot, before);
    }
}

void capacity_view::resize(member_counts& sums) const {
    sums.rack_total.resize(places_.rack_count());
    sums.rack_best.resize(places_.rack_count());
    sums.rack_fits.resize(places_.rack_count());
    sums.centre_total.resize(places_.centre_count());
    sums.region_total.resize(places_.region_count());
}

void capacity_view::review_rack(member_counts& sums, std::uint32_t rack) const {
    std::uint32_t best = 0;
    std::uint64_t exact = 0;
    for (const auto slot : places_.rack(rack).workers) {
        const auto fits = fit(at(slot), sums.unit);
        best = std::max(best, fits);
        exact |= std::uint64_t{1} << std::min(fits, last_fit_bit);
    }
    sums.rack_best[rack] = best;
    sums.rack_fits[rack] = exact;
}

void capacity_view::change(member_counts& sums, worker_slot slot, const resources& before) const {
    const auto fitted = fit(before, sums.unit);
    const auto fits = fit(amounts_[slot], sums.unit);
    resize(sums);
    if (fitted == fits) {
        return;
    }
    const auto rack = places_.slot(slot).rack;
    const auto centre = places_.rack(rack).centre;
    sums.rack_total[rack] += fits - fitted;
    sums.centre_total[centre] += fits - fitted;
    sums.region_total[places_.centre(centre).region] += fits - fitted;
    review_rack(sums, rack);
}

void capacity_view::sum_up(member_counts& sums) const {
    resize(sums);
    for (worker_slot slot = 0; slot < amounts_.size(); ++slot) {
        if (!places_.slot(slot).present) {
            continue;
        }
        const auto fits = fit(amounts_[slot], sums.unit);
        const auto rack = places_.slot(slot).rack;
        const auto centre = places_.rack(rack).centre;
        sums.rack_total[rack] += fits;
        sums.centre_total[centre] += fits;
        sums.region_total[places_.centre(centre).region] += fits;
    }
    for (std::uint32_t rack = 0; rack < places_.rack_count(); ++rack) {
        review_rack(sums, rack);
    }
}

const member_counts& capacity_view::counts(const resources& unit) const {
    ++uses_;
    for (const auto& sums : sums_) {
        if (sums->unit == unit) {
            sums->last_used = uses_;
            resize(*sums);
            return *sums;
        }
    }
    if (sums_.size() >= max_member_sizes) {
        const auto oldest = std::min_element(
            sums_.begin(), sums_.end(),
            [](const auto& left, const auto& right) { return left->last_used < right->last_used; });
        sums_.erase(oldest);
    }
    sums_.push_back(std::make_unique<member_counts>());
    auto& sums = *sums_.back();
    sums.unit = unit;
    sums.last_used = uses_;
    sum_up(sums);
    return sums;
}

}  // namespace baobabrack
