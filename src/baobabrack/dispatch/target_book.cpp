#include "baobabrack/dispatch/target_book.hpp"

#include <algorithm>
#include <cmath>

namespace baobabrack {

namespace {

// Weight of the newest exchange in moving means.
constexpr double newest_weight = 0.15;
constexpr double least_warm_share = 0.25;

void move_towards(double& mean, double sample) {
    mean += newest_weight * (sample - mean);
}

}  // namespace

target_book::target_book(runtime& loop, const target_registry& registry, limit_shares& shares,
                         options opts)
    : loop_(loop), registry_(registry), shares_(shares), options_(opts), started_(loop.now()) {
}

void target_book::refresh() {
    if (seen_changes_ == registry_.change_count()) {
        return;
    }
    seen_changes_ = registry_.change_count();
    std::erase_if(loads_, [&](const auto& item) { return registry_.find(item.first) == nullptr; });
    services_.clear();
    for (const auto& [id, known] : registry_.targets()) {
        auto& load = loads_[id];
        if (load.known == nullptr || load.version.get() != known.facts.incarnation()) {
            // Requests sent before the restart was heard of may run in the new incarnation.
            load = {.id = id,
                    .version = incarnation{known.facts.incarnation()},
                    .held = load.held,
                    .first_seen = known.first_heard};
        }
        load.known = &known;
        const service_id service{known.facts.service()};
        const region_id region{known.facts.location().region()};
        services_[service][region].push_back(&load);
    }
}

const std::vector<target_load*>& target_book::in_region(const service_id& service,
                                                        const region_id& region) {
    static const std::vector<target_load*> none;
    refresh();
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return none;
    }
    const auto targets = found->second.find(region);
    return targets == found->second.end() ? none : targets->second;
}

std::vector<region_id> target_book::regions_of(const service_id& service) {
    refresh();
    std::vector<region_id> regions;
    if (const auto found = services_.find(service); found != services_.end()) {
        for (const auto& [region, targets] : found->second) {
            regions.push_back(region);
        }
    }
    return regions;
}

bool target_book::open(const target_load& target) const {
    const bool accepts =
        options_.ignore_leaving || registry_.accepts_work(*target.known, loop_.now());
    return accepts && target.ejected_until <= loop_.now();
}

std::uint32_t target_book::limit(const target_load& target, std::uint32_t announced,
                                 std::uint32_t fallback) {
    const auto whole = announced == 0 ? fallback : announced;
    if (target.known->facts.guard_endpoint().empty()) {
        const region_id region{target.known->facts.location().region()};
        return shares_.part({target.id, region, whole});
    }
    const auto even = static_cast<double>(whole) / static_cast<double>(shares_.holders());
    const auto booked = static_cast<std::uint32_t>(std::ceil(even * options_.overbooking));
    return std::clamp<std::uint32_t>(booked, 1, whole);
}

std::uint32_t target_book::connections(const target_load& target) {
    return limit(target, target.known->facts.connections(), options_.default_connections);
}

std::uint32_t target_book::free_slots(const target_load& target) {
    if (!open(target)) {
        return 0;
    }
    auto most = std::min(limit(target, target.known->facts.slots(), options_.default_slots),
                         connections(target));
    if (target.probation) {
        most = std::min<std::uint32_t>(most, 1);
    }
    const auto age = loop_.now() - target.first_seen;
    if (age < options_.warm_up && target.first_seen > started_ + options_.warm_up) {
        const auto warm = static_cast<double>(age.count()) / options_.warm_up.count();
        most = static_cast<std::uint32_t>(std::ceil(most * std::max(warm, least_warm_share)));
    }
    return most > target.held ? most - target.held : 0;
}

target_load* target_book::find(const target_id& target, incarnation version) {
    refresh();
    const auto found = loads_.find(target);
    const bool same = found != loads_.end() && found->second.version == version;
    return same ? &found->second : nullptr;
}

void target_book::release(const target_id& target) {
    refresh();
    const auto found = loads_.find(target);
    if (found != loads_.end() && found->second.held > 0) {
        --found->second.held;
    }
}

void target_book::succeeded(const target_id& target, incarnation version, double slowness) {
    auto* load = find(target, version);
    if (load == nullptr) {
        return;
    }
    ++load->samples;
    load->failures_in_a_row = 0;
    move_towards(load->failure_rate, 0);
    move_towards(load->slowness, slowness);
    if (load->probation && ++load->probes_passed >= options_.probes_to_pass) {
        load->probation = false;
        load->ejections = 0;
        load->failure_rate = 0;
    }
    judge(*load);
}

void target_book::failed(const target_id& target, incarnation version) {
    auto* load = find(target, version);
    if (load == nullptr) {
        return;
    }
    ++load->samples;
    ++load->failures_in_a_row;
    move_towards(load->failure_rate, 1);
    judge(*load);
}

void target_book::judge(target_load& target) {
    const bool enough = target.samples >= options_.least_samples;
    const bool failing = target.failures_in_a_row >= options_.failures_to_eject ||
                         (enough && target.failure_rate > options_.failure_rate_to_eject);
    const bool slow = enough && target.slowness > options_.slowness_to_eject;
    const bool failed_probe = target.probation && target.failures_in_a_row > 0;
    if (failing || slow || failed_probe) {
        eject(target);
    }
}

void target_book::eject(target_load& target) {
    if (target.ejected_until > loop_.now() || target.known == nullptr) {
        return;
    }
    std::size_t all = 0;
    std::size_t out = 0;
    for (const auto& [region, targets] : services_[service_id{target.known->facts.service()}]) {
        all += targets.size();
        out += static_cast<std::size_t>(
            std::count_if(targets.begin(), targets.end(), [&](const target_load* other) {
                return other->ejected_until > loop_.now() || other->probation;
            }));
    }
    if (!target.probation && static_cast<double>(out + 1) > options_.most_ejected * all) {
        return;
    }
    const auto growth = 1 << std::min<std::uint32_t>(target.ejections, 6);
    target.ejected_until =
        loop_.now() + std::min(options_.ejection * growth, options_.longest_ejection);
    ++target.ejections;
    target.probation = true;
    target.probes_passed = 0;
    target.failures_in_a_row = 0;
    target.samples = 0;
    target.slowness = 1;
}

bool target_book::any_open(const service_id& service) {
    refresh();
    for (const auto& [region, targets] : services_[service]) {
        const bool any = std::any_of(targets.begin(), targets.end(),
                                     [&](const target_load* target) { return open(*target); });
        if (any) {
            return true;
        }
    }
    return false;
}

std::size_t target_book::ejected() const {
    return static_cast<std::size_t>(
        std::count_if(loads_.begin(), loads_.end(),
                      [&](const auto& item) { return item.second.ejected_until > loop_.now(); }));
}

}  // namespace baobabrack
