#ifndef BAOBABRACK_CTL_LOSS_ANALYSIS_HPP
#define BAOBABRACK_CTL_LOSS_ANALYSIS_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "baobabrack/ctl/logged_history.hpp"
#include "baobabrack/ctl/losses_report.hpp"

namespace baobabrack::ctl {

/// @return the seconds of a time span, or zero if it ends before it begins
inline double seconds_between(log_time begin, log_time end) {
    return end > begin ? std::chrono::duration<double>(end - begin).count() : 0;
}

/// A run as the lines read so far tell.
struct followed_run {
    std::optional<log_time> assigned;
    /// When the worker accepted the start, by its guard's log.
    std::optional<log_time> begun;
    bool ended = false;
    std::optional<workload::lost_work_cause> lost_as;
    lost_work lost;
};

/// A task and its runs by number.
struct followed_task {
    std::map<std::int64_t, followed_run> runs;
    std::optional<log_time> last_end;
    bool done = false;

    bool has_open_run() const {
        return std::any_of(runs.begin(), runs.end(),
                           [](const auto& entry) { return !entry.second.ended; });
    }
};

/// A step of one occurrence of a job, with its tasks by index.
struct followed_step {
    std::map<std::uint64_t, followed_task> tasks;
    std::set<std::uint64_t> done;
    std::optional<log_time> last_end;
    std::optional<log_time> last_done;
    std::optional<log_time> first_done;
};

/// Follows the runs in order of time and adds up what was lost.
class loss_analysis {
public:
    /// @param records in order of time; must outlive this object
    explicit loss_analysis(const std::vector<log_record>& records)
        : records_(records), history_(collect_history(records)) {}

    losses_report run();

private:
    void follow(const log_record& record);
    const submitted_step* find_step(const logged_task& task) const;
    followed_step& step_of(const logged_task& task);
    void assign_run(const log_record& record, const logged_task& task, std::int64_t number);
    std::optional<log_time> ready_time(const job_history& job, const logged_task& task,
                                       const submitted_step& spec, const followed_step& step);
    static std::optional<log_time> due_time(const submitted_job& job, std::uint64_t occurrence);
    std::optional<log_time> done_time(const logged_task& task, std::size_t index);
    void end_run(const log_record& record, const logged_task& task, std::int64_t number);
    std::optional<workload::lost_work_cause> find_cause(const log_record& record,
                                                        const logged_task& task,
                                                        std::int64_t number,
                                                        std::string_view outcome);
    void account_run(const log_record& record, std::optional<workload::lost_work_cause> cause,
                     const submitted_step* spec, followed_run& run);
    static std::optional<log_time> begin_of(const log_record& record, const followed_run& run);
    void add_wait(waiting_cause cause, const std::string& reason, const submitted_step& spec,
                  double seconds);
    void add_wait(const job_history& job, std::size_t step, const submitted_step& spec,
                  log_span wait);
    void add_reported_wait(const reported_wait* reported, const submitted_step& spec,
                           const log_span& wait);
    void add_unfinished_waits(const std::string& id, const job_history& job);
    void add_unfinished_waits(const job_history& job, logged_task task, log_time end);
    bool has_open_run(const std::string& id) const;
    void count_job(const std::string& id, const job_history& job);

    const std::vector<log_record>& records_;
    logged_history history_;
    losses_report report_;
    // By job, then by occurrence and step.
    std::map<std::string, std::map<std::pair<std::uint64_t, std::size_t>, followed_step>> steps_;
};

}  // namespace baobabrack::ctl

#endif
