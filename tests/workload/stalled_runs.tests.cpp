#include <catch2/catch.hpp>
#include <functional>

#include "baobabrack/units/seconds.hpp"
#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// The progress of a run in percent by its age.
using progress_curve = std::function<double(double age_s)>;

/// Three workers, and a job whose runs make progress along a given curve.
class slow_progress_fixture : public scheduler_fixture {
public:
    slow_progress_fixture(job_spec job, duration percent_time)
        : slow_progress_fixture(std::move(job), [percent_time](double age_s) {
              return age_s / to_seconds(percent_time);
          }) {}

    slow_progress_fixture(job_spec job, progress_curve progress) : progress_(std::move(progress)) {
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
                    run.percent =
                        static_cast<std::uint32_t>(progress_(to_seconds(now - start->second)));
                }
            }
        }
    }

private:
    progress_curve progress_;
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

// Two runs on different workers that both show no progress yet are long rather than stalled: their
// workers would have to fail at the same time.
TEST_CASE("Runs of a step that all progress late are not stopped", "[scheduler][stalled]") {
    auto job = underestimated_job(2, false);
    job.steps.front().most_per_worker = 1;
    slow_progress_fixture fixture(job, 9s);
    fixture.run_for(120s);
    CHECK(fixture.subject.counts().stopped == 0);
    CHECK(fixture.subject.counts().started == 2);
}

// Each run began fast, which set the time until it counted as stalled to two seconds, and that time
// did not grow from run to run.
TEST_CASE("A task whose progress slows down is not stopped as stalled for ever",
          "[scheduler][stalled]") {
    constexpr double fast_s = 4;
    constexpr double fast_rate = 10;
    constexpr double slow_rate = 1.0 / 9;
    slow_progress_fixture fixture(underestimated_job(1, false), [=](double age_s) {
        return age_s < fast_s ? age_s * fast_rate
                              : fast_s * fast_rate + (age_s - fast_s) * slow_rate;
    });
    fixture.run_for(60s);
    const auto stopped = fixture.subject.counts().stopped;
    CHECK(stopped <= 4);
    fixture.run_for(120s);
    CHECK(fixture.subject.counts().stopped == stopped);
}

// A worker that is seven times slower than usual shows a per cent of a run of 100 s after 7 s.
// Whether a restart elsewhere pays is decided for slow workers, not for stalled runs.
TEST_CASE("A run on a worker that becomes slow is not taken for stalled", "[scheduler][stalled]") {
    constexpr double fast_s = 80;
    slow_progress_fixture fixture(underestimated_job(1, false), [=](double age_s) {
        return age_s < fast_s ? age_s : fast_s + (age_s - fast_s) / 7;
    });
    fixture.run_for(95s);
    const auto events = fixture.subject.drain_decision_events();
    CHECK(std::none_of(events.begin(), events.end(), [](const auto& event) {
        return event.detail.find("no progress") != std::string::npos;
    }));
}

// A declared time that was corrected far downwards shortened the time until the first progress.
TEST_CASE("A run is given the time to its first progress that its declared time implies",
          "[scheduler][stalled]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    for (int number = 0; number < 8; ++number) {
        auto job = job_of("short" + std::to_string(number), 1, 1);
        job.steps.front().estimated = 60s;
        fixture.submit(job);
        fixture.run_pass();
        fixture.run_pass();
        fixture.end_all("h1", run_outcome::done);
        fixture.run_pass();
    }
    fixture.submit(underestimated_job(1, false));
    for (int pass = 0; pass < 50; ++pass) {
        fixture.run_pass();
        for (auto& run : fixture.reports["h1"].runs) {
            run.percent = 0;
        }
    }
    CHECK(fixture.subject.counts().stopped == 0);
}
