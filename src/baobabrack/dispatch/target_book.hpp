#ifndef BAOBABRACK_DISPATCH_TARGET_BOOK_HPP
#define BAOBABRACK_DISPATCH_TARGET_BOOK_HPP

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "baobabrack/dispatch/limit_shares.hpp"
#include "baobabrack/membership/target_registry.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/units/ids.hpp"

namespace baobabrack {

/// What this entry knows of one target from its own exchanges with it.
struct target_load {
    const known_target* known = nullptr;
    target_id id;
    incarnation version;
    /// Slots held, with those of requests that were given up but may still run.
    std::uint32_t held = 0;
    /// How long answers take against the mean of their classes; 1 is ordinary.
    double slowness = 1;
    std::uint32_t samples = 0;
    /// Recent share of exchanges that failed.
    double failure_rate = 0;
    std::uint32_t failures_in_a_row = 0;
    std::uint32_t ejections = 0;
    time_point ejected_until{};
    /// After an ejection: one exchange at a time until enough have gone well.
    bool probation = false;
    std::uint32_t probes_passed = 0;
    time_point first_seen{};
};

/// The targets by service and region, with their load, their outliers and this entry's part of
/// their limits.
class target_book {
public:
    struct options {
        std::uint32_t failures_to_eject = 5;
        double failure_rate_to_eject = 0.5;
        double slowness_to_eject = 3.5;
        /// Samples before a rate counts.
        std::uint32_t least_samples = 8;
        duration ejection = std::chrono::seconds{5};
        duration longest_ejection = std::chrono::seconds{60};
        /// Most of a service's targets that may be ejected at once.
        double most_ejected = 0.4;
        std::uint32_t probes_to_pass = 3;
        /// A target that comes later than this after the entry starts slowly.
        duration warm_up = std::chrono::seconds{10};
        /// How much more than an even part is sent to a target whose guard holds the limit.
        double overbooking = 1.25;
        std::uint32_t default_slots = 8;
        std::uint32_t default_connections = 64;
        /// Test only: sends to targets that have announced leaving.
        bool ignore_leaving = false;
    };

    target_book(runtime& loop, const target_registry& registry, limit_shares& shares, options opts);

    /// @return targets of a service in one region, brought up to date with the registry
    const std::vector<target_load*>& in_region(const service_id& service, const region_id& region);

    /// @return regions in which a service has targets
    std::vector<region_id> regions_of(const service_id& service);

    /// @return slots that this entry could use now at the target; zero if it takes no new work
    std::uint32_t free_slots(const target_load& target);

    /// @return whether the target may be used now but for its slots
    bool open(const target_load& target) const;

    void hold(target_load& target) { ++target.held; }

    /// Gives a slot back.
    void release(const target_id& target);

    /// Notes an answer.
    ///
    /// @param slowness the time it took against the mean of its class
    void succeeded(const target_id& target, incarnation version, double slowness);
    void failed(const target_id& target, incarnation version);

    /// @return this entry's part of the target's connections
    std::uint32_t connections(const target_load& target);

    /// @return whether any target of the service is known that takes work
    bool any_open(const service_id& service);

    std::size_t ejected() const;

private:
    using region_table = std::map<region_id, std::vector<target_load*>>;

    void refresh();
    target_load* find(const target_id& target, incarnation version);
    void judge(target_load& target);
    void eject(target_load& target);
    std::uint32_t limit(const target_load& target, std::uint32_t announced, std::uint32_t fallback);

    runtime& loop_;
    const target_registry& registry_;
    limit_shares& shares_;
    options options_;
    time_point started_;
    std::uint64_t seen_changes_ = ~std::uint64_t{0};
    std::unordered_map<target_id, target_load> loads_;
    std::map<service_id, region_table> services_;
};

}  // namespace baobabrack

#endif
