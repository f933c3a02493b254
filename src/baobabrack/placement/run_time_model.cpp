#include "baobabrack/placement/run_time_model.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "baobabrack/placement/planner.hpp"

namespace baobabrack {

namespace {

constexpr double buckets_per_octave = 2;
/// Runs that make a distribution worth more than a coarser one.
constexpr double least_runs = 6;
constexpr std::size_t level_count = 3;
constexpr double least_seconds = 1;

double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

std::size_t bucket_of(double seconds) {
    const auto position = std::log2(std::max(seconds, 1.0)) * buckets_per_octave;
    return std::min(static_cast<std::size_t>(position), run_time_histogram::bucket_count - 1);
}

double middle_of(std::size_t bucket) {
    constexpr double half = 0.5;
    return std::exp2((static_cast<double>(bucket) + half) / buckets_per_octave);
}

std::uint64_t mix(std::uint64_t seed, std::uint64_t value) {
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;
    seed ^= value + golden_ratio + (seed << 6U) + (seed >> 2U);
    return seed * golden_ratio;
}

/// @param level 0 is the finest
std::uint64_t key_of(const planned_job& job, std::size_t level) {
    auto key = mix(
        level, static_cast<std::uint64_t>(std::log2(std::max(seconds_of(job.declared_run), 1.0))));
    if (level < 2) {
        key = mix(key, std::hash<std::string>{}(job.workspace.get()));
    }
    if (level < 1) {
        key = mix(key, job.shape.members());
        key = mix(key, job.shape.per_member().accelerators());
        key = mix(key, job.shape.per_member().cpu_millicores());
    }
    return key;
}

}  // namespace

void run_time_histogram::add(double seconds) {
    counts_.at(bucket_of(seconds)) += 1;
    total_ += 1;
}

double run_time_histogram::mean_remaining(double attained_seconds) const {
    const auto first = bucket_of(attained_seconds);
    double weight = 0;
    double remaining = 0;
    for (auto bucket = first; bucket < bucket_count; ++bucket) {
        const auto middle = middle_of(bucket);
        if (middle <= attained_seconds) {
            continue;
        }
        weight += counts_.at(bucket);
        remaining += counts_.at(bucket) * (middle - attained_seconds);
    }
    return weight > 0 ? remaining / weight : std::max(attained_seconds, least_seconds);
}

void run_time_model::learn(const planned_job& job, duration run) {
    for (std::size_t level = 0; level < level_count; ++level) {
        by_key_[key_of(job, level)].add(seconds_of(run));
    }
}

const run_time_histogram* run_time_model::best_match(const planned_job& job) const {
    for (std::size_t level = 0; level < level_count; ++level) {
        const auto found = by_key_.find(key_of(job, level));
        if (found != by_key_.end() && found->second.total() >= least_runs) {
            return &found->second;
        }
    }
    return nullptr;
}

double run_time_model::expected_remaining(const planned_job& job, duration attained) const {
    const auto ran = seconds_of(attained);
    if (const auto* learned = best_match(job)) {
        return std::max(learned->mean_remaining(ran), least_seconds);
    }
    const auto declared = seconds_of(job.declared_run);
    return std::max({declared - ran, ran, least_seconds});
}

}  // namespace baobabrack
