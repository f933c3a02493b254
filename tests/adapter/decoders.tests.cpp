#include <catch2/catch.hpp>

#include "baobabrack/units/seconds.hpp"
#include "platform/announcements_api.hpp"
#include "platform/config_decoder.hpp"
#include "platform/job_decoder.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_client.hpp"

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

http_outcome answer(int status, const std::string& body) {
    return {.completion = http_completion::answered,
            .response = {.status = status, .headers = {}, .body = body}};
}

}  // namespace

TEST_CASE("Encoded records are decoded unchanged", "[adapter]") {
    const std::vector<keyed_record> records{{.key = "a", .value = std::string("\0x", 2)},
                                            {.key = "bb", .value = ""}};
    const auto body = std::string(16, '\0') + platform::encode_records(records);
    const auto page = platform::decode_read(body, log_offset{5});
    REQUIRE(page);
    REQUIRE(page.value().entries.size() == 2);
    CHECK(page.value().entries[0].record == records[0]);
    CHECK(page.value().entries[1].record == records[1]);
    CHECK(page.value().entries[1].offset == log_offset{6});
}

TEST_CASE("A truncated page of records is rejected", "[adapter]") {
    const auto body =
        std::string(16, '\0') + platform::encode_records({{.key = "a", .value = "b"}});
    CHECK_FALSE(platform::decode_read(body.substr(0, body.size() - 1), log_offset{0}));
    CHECK_FALSE(platform::decode_read("short", log_offset{0}));
}

TEST_CASE("The values of a listing are decoded from base64", "[adapter]") {
    const auto page = platform::decode_newest(
        R"({"items":[{"Key":"k","Value":"aGk=","Offset":4},{"Key":"l","Value":"aGkh","Offset":5}],)"
        R"("HasMore":true,"EndOffset":6})");
    REQUIRE(page);
    CHECK(page.value().entries[0].record.value == "hi");
    CHECK(page.value().entries[1].record.value == "hi!");
    CHECK(page.value().has_more);
    CHECK(page.value().end == log_offset{6});
    CHECK_FALSE(platform::decode_newest(R"({"items":[{"Key":"k","Value":"%%%%","Offset":4}]})"));
    CHECK_FALSE(platform::decode_newest("nothing"));
}

TEST_CASE("A worker's answers are decoded to call outcomes", "[adapter]") {
    using workload::call_outcome;
    CHECK(platform::decode_call_reply(answer(200, R"({"ClockMs":7})")).outcome ==
          call_outcome::accepted);
    CHECK(platform::decode_call_reply(answer(200, R"({"ClockMs":7})")).clock ==
          workload::worker_time{7});
    CHECK(platform::decode_call_reply(answer(409, R"({"Reason":"fence"})")).outcome ==
          call_outcome::fenced);
    CHECK(platform::decode_call_reply(answer(409, R"({"Reason":"old"})")).outcome ==
          call_outcome::outdated);
    CHECK(platform::decode_call_reply(answer(409, R"({"Reason":"late"})")).outcome ==
          call_outcome::late);
    CHECK(platform::decode_call_reply(answer(409, R"({"Reason":"room"})")).outcome ==
          call_outcome::no_room);
    CHECK(platform::decode_call_reply(answer(421, "")).outcome == call_outcome::other_worker);
    CHECK(platform::decode_call_reply(answer(503, "")).outcome == call_outcome::unavailable);
    CHECK(platform::decode_call_reply(answer(400, "")).outcome == call_outcome::rejected);
    CHECK(platform::decode_call_reply(answer(500, "")).outcome == call_outcome::unanswered);
    CHECK(platform::decode_call_reply({.completion = http_completion::not_sent}).outcome ==
          call_outcome::unreachable);
    CHECK(platform::decode_call_reply({.completion = http_completion::timed_out}).outcome ==
          call_outcome::unanswered);
    CHECK(platform::decode_call_reply({.completion = http_completion::broken}).outcome ==
          call_outcome::disconnected);
}

TEST_CASE("Both lists of a worker are decoded and malformed rows are skipped", "[adapter]") {
    const auto renewal = platform::decode_renew_reply(
        answer(200, R"({"ClockMs":9,"born":3,"Running":[["j.0.1.17",2,"c",41],["bad"],7],)"
                    R"("Finished":[[58,"j.0.1.9",1,"done",""],[59,"j.x",1,"done",""]]})"),
        incarnation{3});
    REQUIRE(renewal.lists.runs.size() == 1);
    CHECK(renewal.lists.runs[0].task.index == 17);
    CHECK(renewal.lists.runs[0].checkpoint == "c");
    CHECK(renewal.lists.runs[0].percent == 41);
    REQUIRE(renewal.lists.ends.size() == 1);
    CHECK(renewal.lists.ends[0].sequence == 58);
    CHECK(renewal.lists.ends[0].outcome == workload::run_outcome::done);
}

// A list that was read as shorter or empty made the guard say of a run that it was never started.
TEST_CASE("Lists that cannot be decoded whole are incomplete or count as no answer", "[adapter]") {
    const auto decode = [](const std::string& body) {
        return platform::decode_renew_reply(answer(200, body), incarnation{3});
    };
    CHECK_FALSE(decode(R"({"ClockMs":9,"born":3,"Running":[],"Finished":[]})").lists.incomplete);
    CHECK(decode(R"({"ClockMs":9,"born":3,"Running":[["j.0.1.17",-2,"c",41]]})").lists.incomplete);
    CHECK(decode(R"({"ClockMs":9,"born":3,"Finished":[[58,"j",1,"done",""]]})").lists.incomplete);
    CHECK(decode(R"({"ClockMs":9,"born":3,"Running":7})").lists.incomplete);
    CHECK(decode(R"({"ClockMs":9,"Running":[["j.0.1.17")").reply.outcome ==
          workload::call_outcome::unanswered);
    CHECK(decode("[]").reply.outcome == workload::call_outcome::unanswered);
    CHECK(decode("").reply.outcome == workload::call_outcome::unanswered);
}

TEST_CASE("Lists of another worker instance are rejected", "[adapter]") {
    const auto renewal = platform::decode_renew_reply(answer(200, R"({"born":4})"), incarnation{3});
    CHECK(renewal.reply.outcome == workload::call_outcome::other_worker);
}

TEST_CASE("A task name is parsed from its text", "[adapter]") {
    const auto task = platform::parse_task("5c0e7a21d94b36f8.2.1.17");
    REQUIRE(task);
    CHECK(to_text(*task) == "5c0e7a21d94b36f8.2.1.17");
    CHECK_FALSE(platform::parse_task("5c0e7a21d94b36f8"));
    CHECK_FALSE(platform::parse_task("5c0e7a21d94b36f8.2.x.1"));
}

TEST_CASE("A configuration with an invalid part is rejected as a whole", "[adapter]") {
    const std::string text =
        R"({"Version":7,"Routes":[{"Name":"q","Host":"h","PathPrefix":"/p/","Service":"s",)"
        R"("Priority":1,"MaxAttempts":3,"SlackFactor":1.5,"TargetCompletionMs":400,"Public":true}],)"
        R"("Services":[{"Name":"s","Preconditions":true}],)"
        R"("Tenants":[{"Name":"w","ApiKeys":["k"],"Guaranteed":{"Gpu":16}}]})";
    const auto config = platform::decode_config(text);
    REQUIRE(config);
    CHECK(config.value().version == workload::config_version{7});
    const auto* queue = config.value().find_queue("h", "/p/x");
    REQUIRE(queue != nullptr);
    CHECK(queue->is_public);
    CHECK(queue->target_completion == 400ms);
    CHECK(config.value().services.front().workers_check_capacity);
    CHECK(config.value().find_workspace_by_key("k")->guaranteed == accelerator_count{16});
    CHECK_FALSE(platform::decode_config(R"({"Version":7,"Routes":[{"Priority":"first"}]})"));
    CHECK_FALSE(platform::decode_config(R"({"Version":7})"));
    CHECK_FALSE(platform::decode_config("{"));
}

TEST_CASE("The queue with the longest matching prefix is selected", "[adapter]") {
    const auto config = platform::decode_config(
        R"({"Version":1,"Routes":[{"Name":"a","Host":"h","PathPrefix":"/p/"},)"
        R"({"Name":"b","Host":"h","PathPrefix":"/p/q/"}]})");
    REQUIRE(config);
    CHECK(config.value().find_queue("h", "/p/q/x")->id == workload::queue_id{"b"});
    CHECK(config.value().find_queue("h", "/p/x")->id == workload::queue_id{"a"});
}

TEST_CASE("A submission is decoded, and errors state their cause", "[adapter]") {
    const job_id id{"5c0e7a21d94b36f8"};
    const auto job = platform::decode_job(
        id, R"({"Spec":"s","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"Gpu":1,"EstimatedMs":900,)"
            R"("Affinity":"r1","Gang":true},{"Count":1,"After":[0],"Requirements":"a"}],)"
            R"("Repetitions":2,"StartAtMs":5,"IntervalMs":7})");
    REQUIRE(job);
    CHECK(job.value().steps[0].tasks == 4);
    CHECK(job.value().steps[0].data_rack == rack_id{"r1"});
    CHECK(job.value().steps[0].gang);
    CHECK(job.value().steps[1].after == std::vector<std::uint32_t>{0});
    CHECK(job.value().steps[1].required_label == workload::label{"a"});
    CHECK(job.value().occurrences == 2);
    const auto bad = platform::decode_job(id, R"({"Steps":[{"Count":"four"}]})");
    REQUIRE_FALSE(bad);
    CHECK(bad.error().message == "step 0 has a field of a wrong type");
    CHECK_FALSE(platform::decode_job(id, "<xml>"));
    CHECK(platform::is_job_id("5c0e7a21d94b36f8"));
    CHECK_FALSE(platform::is_job_id("5c0e7a21d94b36fg"));
}

// An estimate of 2^63 ms overflowed when it was converted to microseconds, and one of 0 put a job
// of unknown length before all others.
TEST_CASE("An estimate out of range is clamped or rejected with the field's name", "[adapter]") {
    const job_id id{"5c0e7a21d94b36f8"};
    const auto decode = [&](const std::string& estimate) {
        return platform::decode_job(
            id, R"({"Steps":[{"Count":1},{"Count":1,"EstimatedMs":)" + estimate + "}]}");
    };
    const auto estimate_of = [&](const std::string& estimate) {
        const auto job = decode(estimate);
        REQUIRE(job);
        return job.value().steps[1].estimated;
    };
    CHECK(estimate_of("1") == 1ms);
    CHECK(estimate_of("900") == 900ms);
    CHECK(estimate_of("86400000") == 24h);
    CHECK(estimate_of("0") == 1ms);
    CHECK(estimate_of("0.4") == 1ms);
    CHECK(estimate_of("null") == 1ms);
    CHECK(estimate_of("86400001") == 24h);
    CHECK(estimate_of("9000000000000000") == 24h);
    CHECK(estimate_of("9223372036854775808") == 24h);
    CHECK(estimate_of("1e300") == 24h);
    for (const auto* const estimate : {"-1", "-0.5", "-9223372036854775808", "\"900\"", "true"}) {
        const auto rejected = decode(estimate);
        REQUIRE_FALSE(rejected);
        CHECK(rejected.error().message ==
              "EstimatedMs of step 1 is not a number from 0 to 86400000");
    }
}

TEST_CASE("An announcement is decoded, and malformed ones are rejected", "[adapter]") {
    const std::string valid =
        R"({"Service":"s","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2,"Gpu":3},)"
        R"("Labels":["a","r1-2"],"ClockMs":5,"Sequence":4,"born":77})";
    const auto decode = [](const std::string& text) {
        return platform::decode_announcement(workload::host_id{"h"}, worker_id{"w"}, text);
    };
    const auto announcement = decode(valid);
    REQUIRE(announcement);
    CHECK(announcement.value().facts.rack == rack_id{"r1-2"});
    CHECK(announcement.value().facts.instance.version == incarnation{77});
    CHECK_FALSE(decode(R"({"Service":"s","State":"dancing","Capacity":{},"Sequence":1})"));
    CHECK_FALSE(decode(R"({"Service":"s","State":"ready","Sequence":1})"));
    CHECK_FALSE(decode(R"({"Service":7,"State":"ready","Capacity":{},"Sequence":1})"));
    CHECK_FALSE(decode("\xff"));
}

// A number that is too large was cut to 32 bits, or taken for the time at which a newer instance
// began.
TEST_CASE("An odd announcement of another writer is rejected", "[adapter]") {
    const auto decode = [](const std::string& capacity, const std::string& more) {
        return platform::decode_announcement(
            workload::host_id{"h"}, worker_id{"w"},
            R"({"Service":"s","State":"ready","Capacity":)" + capacity + more + "}");
    };
    const std::string capacity = R"({"Cpu":1,"MemMb":2,"Gpu":3})";
    REQUIRE(decode(capacity, R"(,"Sequence":1,"born":1796460130467)"));
    CHECK_FALSE(decode(R"({"Cpu":4294967297,"MemMb":2,"Gpu":3})", R"(,"Sequence":1)"));
    CHECK_FALSE(decode(R"({"Cpu":1,"MemMb":2,"Gpu":1e300})", R"(,"Sequence":1)"));
    CHECK_FALSE(decode(capacity, R"(,"Sequence":18446744073709551615)"));
    CHECK_FALSE(decode(capacity, R"(,"Sequence":1,"born":9000000000000000)"));
    CHECK_FALSE(decode(capacity, R"(,"Sequence":1,"ClockMs":18446744073709551615)"));
    CHECK_FALSE(decode(capacity, R"(,"Sequence":1e400)"));
    const std::size_t depth = 200'000;
    CHECK_FALSE(decode(std::string(depth, '[') + std::string(depth, ']'), R"(,"Sequence":1)"));
    CHECK_FALSE(decode(std::string(depth, '['), ""));
}

// Some of these were cut to 32 bits, and others overflowed when they were multiplied later.
TEST_CASE("A number of a submission that is out of range is rejected with its field's name",
          "[adapter][ranges]") {
    const job_id id{"5c0e7a21d94b36f8"};
    const auto message = [&](const std::string& step, const std::string& more) {
        const auto job = platform::decode_job(
            id, R"({"Steps":[{"Count":1},{"Count":1)" + step + "}]" + more + "}");
        return job ? std::string{} : job.error().message;
    };
    CHECK(message(R"(,"Cpu":4294967296)", "") == "step 1 has Cpu out of range");
    CHECK(message(R"(,"MemMb":-1)", "") == "step 1 has MemMb out of range");
    CHECK(message(R"(,"Gpu":1e300)", "") == "step 1 has Gpu out of range");
    CHECK(message(R"(,"AntiAffinity":18446744073709551615)", "") ==
          "step 1 has AntiAffinity out of range");
    CHECK(message(R"(,"After":[4294967296])", "") == "step 1 has After out of range");
    CHECK(message("", R"(,"Repetitions":4294967297)") == "the job has Repetitions out of range");
    CHECK(message("", R"(,"IntervalMs":9000000000000000)") ==
          "the job has IntervalMs out of range");
    CHECK(message("", R"(,"StartAtMs":9000000000000000)") == "the job has StartAtMs out of range");
    CHECK(message(R"(,"Cpu":4294967295,"After":[0])", R"(,"IntervalMs":86400000)").empty());
}

TEST_CASE("A long estimate does not overflow when it is added up", "[adapter][ranges]") {
    std::string steps = R"({"Count":1,"EstimatedMs":9000000000000000})";
    for (int step = 0; step < 4; ++step) {
        steps +=
            R"(,{"Count":1,"EstimatedMs":9000000000000000,"After":[)" + std::to_string(step) + "]}";
    }
    const auto job =
        platform::decode_job(job_id{"5c0e7a21d94b36f8"}, R"({"Steps":[)" + steps + "]}");
    if (job) {
        CHECK(to_seconds(workload::critical_path_time(job.value())) >
              4 * to_seconds(job.value().steps[0].estimated));
    }
}

TEST_CASE("A number of the configuration that is out of range is rejected with its field's name",
          "[adapter][ranges]") {
    const auto message = [](const std::string& route, const std::string& guaranteed) {
        const auto config = platform::decode_config(
            R"({"Version":7,"Routes":[{"Name":"q")" + route +
            R"(}],"Tenants":[{"Name":"w","Guaranteed":{"Gpu":)" + guaranteed + "}}]}");
        return config ? std::string{} : config.error().message;
    };
    CHECK(message("", "16").empty());
    CHECK(message(R"(,"Priority":4294967296)", "16") == "Priority is out of range");
    CHECK(message(R"(,"MaxAttempts":4294967297)", "16") == "MaxAttempts is out of range");
    CHECK(message("", "4294967296") == "Gpu is out of range");
    CHECK(message(R"(,"TargetCompletionMs":9000000000000000)", "16").empty());
}

// A run number was cut to 32 bits, a percentage outside the type was converted, and a clock that
// could not be read counted as a reading of 0.
TEST_CASE("A worker's numbers that are out of range are not taken", "[adapter][ranges]") {
    const auto decode = [](const std::string& body) {
        return platform::decode_renew_reply(answer(200, body), incarnation{3});
    };
    CHECK(decode(R"({"born":3,"Running":[["j.0.1.17",4294967298,"c",41]]})").lists.incomplete);
    CHECK(
        decode(R"({"born":3,"Finished":[[1,"j.0.1.17",4294967298,"done",""]]})").lists.incomplete);
    CHECK(decode(R"({"born":3,"Running":[["j.0.1.17",2,"c",-5]]})").lists.runs.at(0).percent == 0);
    CHECK(decode(R"({"born":3,"Running":[["j.0.1.17",2,"c",1e300]]})").lists.runs.at(0).percent ==
          100);
    CHECK_FALSE(decode(R"({"born":3,"ClockMs":9000000000000000})").reply.clock);
    CHECK_FALSE(decode(R"({"born":3,"ClockMs":-1})").reply.clock);
    CHECK(decode(R"({"born":3,"ClockMs":1796460130467})").reply.clock ==
          workload::worker_time{1796460130467});
    const auto announcement = platform::decode_announcement(
        workload::host_id{"h"}, worker_id{"w"},
        R"({"Service":"s","State":"ready","Capacity":{"Cpu":4294967297},"Sequence":1})");
    REQUIRE_FALSE(announcement);
    CHECK(announcement.error().message == "Cpu is out of range");
}
