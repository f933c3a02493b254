#include <algorithm>
#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// @return the texts of the events of this name since the last call
std::vector<std::string> texts_of(scheduler_fixture& fixture, const std::string& event) {
    std::vector<std::string> texts;
    for (const auto& decision : fixture.subject.drain_decision_events()) {
        if (decision.event == event) {
            texts.push_back(decision.detail);
        }
    }
    return texts;
}

void run_for(scheduler_fixture& fixture, duration span) {
    for (const auto end = fixture.now + span; fixture.now < end;) {
        fixture.run_pass();
    }
}

}  // namespace

TEST_CASE("A job that waits for room is reported after a second, and then every five",
          "[scheduler][waiting]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("large", 1, 9));
    run_for(fixture, 900ms);
    CHECK(texts_of(fixture, "job-waiting").empty());
    run_for(fixture, 1s);
    CHECK(texts_of(fixture, "job-waiting") ==
          std::vector<std::string>{"step 0, 1 tasks; no room on 1 hosts"});
    run_for(fixture, 4s);
    CHECK(texts_of(fixture, "job-waiting").empty());
    run_for(fixture, 2s);
    CHECK(texts_of(fixture, "job-waiting").size() == 1);
}

TEST_CASE("A job that waits beside idle hosts is reported with what keeps it from them",
          "[scheduler][waiting]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    SECTION("a host that is left out") {
        fixture.reports["h1"].facts.draining = true;
        fixture.submit(job_of("j", 1, 1));
        run_for(fixture, 1500ms);
        const auto texts = texts_of(fixture, "job-waiting");
        REQUIRE(texts.size() == 1);
        CHECK(texts[0].find("hosts left out as draining: 1") != std::string::npos);
    }
    SECTION("a reservation") {
        auto first = job_of("first", 1, 1);
        first.steps.front().estimated = 5s;
        fixture.submit(first);
        run_for(fixture, 200ms);
        auto whole_host = job_of("whole-host", 1, 8);
        whole_host.steps.front().estimated = 100ms;
        whole_host.target_completion = 60s;
        fixture.submit(whole_host);
        auto second = job_of("second", 1, 1);
        second.steps.front().estimated = 60s;
        fixture.submit(second);
        run_for(fixture, 1300ms);
        const auto texts = texts_of(fixture, "job-waiting");
        CHECK(std::any_of(texts.begin(), texts.end(), [](const std::string& text) {
            return text.find("reserved for job whole-host (1 hosts, from ") != std::string::npos;
        }));
    }
}

TEST_CASE("A change of a worker's health is reported once", "[scheduler][waiting]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    for (const std::string name : {"j1", "j2"}) {
        auto job = job_of(name, 1, 1);
        job.most_attempts = 1;
        fixture.submit(job);
        run_for(fixture, 1s);
        fixture.end_all("h1", run_outcome::failed);
    }
    run_for(fixture, 1s);
    CHECK(texts_of(fixture, "worker-health") ==
          std::vector<std::string>{
              "unhealthy; jobs whose runs have failed there since the last success: 2"});
    run_for(fixture, 4s);
    CHECK(texts_of(fixture, "worker-health") ==
          std::vector<std::string>{
              "probation; jobs whose runs have failed there since the last success: 2"});
}
