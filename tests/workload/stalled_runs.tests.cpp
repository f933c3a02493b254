#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// Three workers, and a job whose runs make one percent of progress in a given time.
class slow_progress_fixture : public scheduler_fixture {
public:
    slow_progress_fixture(job_spec job, duration percent_time) : percent_time_(percent_time) {
        for (const auto* host : {"h1", "h2", "h3"}) {
            add_worker(host);
        }
        submit(std::move(job));
    }

    void run_for(duration span) {
        for (const auto end = now + span; now < end;) {
            run_pass();
            for (auto& [host, report] : reports) {
                for (auto& run : report.runs) {
                    const auto start = started_.try_emplace({run.task, run.run}, now).first;
                    run.percent = static_cast<std::uint32_t>((now - start->second) / percent_time_);
                }
            }
        }
    }

private:
    duration percent_time_;
    std::map<std::pair<task_name, run_number>, time_point> started_;
};

job_spec underestimated_job(std::uint32_t tasks, bool gang) {
    auto job = job_of("j", tasks, 1, gang);
    job.steps.front().estimated = 60s;
    return job;
}

}  // namespace

// A run of 900 s that was declared as 60 s shows one percent each 9 s. It was stopped as stalled
// before that, again and again.
TEST_CASE("A task that is much longer than its estimate is not stopped as stalled for ever",
          "[scheduler][stalled]") {
    const bool gang = GENERATE(false, true);
    slow_progress_fixture fixture(underestimated_job(2, gang), 9s);
    fixture.run_for(60s);
    const auto stopped = fixture.subject.counts().stopped;
    CHECK(stopped <= 4);
    fixture.run_for(120s);
    CHECK(fixture.subject.counts().stopped == stopped);
}

// The other side: the first stall is found as soon as before, and a task that stands still
// everywhere goes on being moved.
TEST_CASE("A run that stands still is stopped", "[scheduler][stalled]") {
    slow_progress_fixture fixture(underestimated_job(1, false), 24h);
    fixture.run_for(7s);
    CHECK(fixture.subject.counts().stopped == 1);
    fixture.run_for(60s);
    CHECK(fixture.subject.counts().stopped >= 3);
}
