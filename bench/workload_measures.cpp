#include "workload_measures.hpp"

#include <algorithm>

namespace baobabrack::bench {

namespace {

constexpr duration window_length = std::chrono::seconds{4};
// The weights of the users.
constexpr double weight_day = 0.35;
constexpr double weight_windows = 0.5;
constexpr double weight_kind = 0.15;

struct tally {
    double owed = 0;
    double earned = 0;
    double share() const { return owed > 0 ? earned / owed : 1; }
};

double worst_two(const std::map<std::int64_t, tally>& windows) {
    std::vector<double> shares;
    for (const auto& [number, one] : windows) {
        shares.push_back(one.share());
    }
    std::sort(shares.begin(), shares.end());
    return shares.size() < 2 ? 1 : (shares[0] + shares[1]) / 2;
}

time_point completed_at(const workload_trace& trace, const workload_result& result,
                        std::size_t job) {
    return result.completed[job].value_or(trace.end + after_time);
}

}  // namespace

workload_measures measure(const workload_trace& trace, const workload_result& result) {
    workload_measures found;
    tally day;
    std::map<std::int64_t, tally> windows;
    double jobs = 0;
    std::vector<tally> kinds(trace.deployment.kinds.size());
    for (std::size_t at = 0; at < trace.jobs.size(); ++at) {
        const auto& job = trace.jobs[at];
        if (job.cancelled) {
            continue;
        }
        const auto until = completed_at(trace, result, at);
        found.completion_s += std::chrono::duration<double>(until - job.submitted).count();
        ++jobs;
        double earned = 0;
        const auto& completed = result.completed[at];
        if (completed && *completed <= job.objective) {
            earned = job.worth;
        } else if (completed && *completed <= job.give_up) {
            earned = job.late_worth;
            ++found.late;
        } else {
            ++found.lost;
        }
        for (auto* one :
             {&day, &kinds[job.kind], &windows[job.submitted.time_since_epoch() / window_length]}) {
            one->owed += job.worth;
            one->earned += earned;
        }
    }
    found.completion_s /= std::max(jobs, 1.0);
    found.whole_day = day.share();
    found.worst_windows = worst_two(windows);
    found.worst_kind = 1;
    for (const auto& kind : kinds) {
        found.by_kind.push_back(kind.share());
        found.worst_kind = std::min(found.worst_kind, kind.share());
    }
    found.waste_price = result.wasted * trace.deployment.waste_price / std::max(day.owed, 1.0);
    found.worth = weight_day * found.whole_day + weight_windows * found.worst_windows +
                  weight_kind * found.worst_kind - found.waste_price;
    return found;
}

}  // namespace baobabrack::bench
