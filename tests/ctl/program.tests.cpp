#include "baobabrack/ctl/program.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "baobabrack/api.pb.h"
#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/transport/event_handles.hpp"
#include "support/background_http_server.hpp"

namespace baobabrack {
namespace {

using ctl::exit_code;
using testing::background_http_server;

struct program_result {
    exit_code code;
    std::string out;
    std::string error;
};

program_result run(const std::vector<std::string>& arguments) {
    std::ostringstream out;
    std::ostringstream error;
    const auto code = ctl::run_program(arguments, out, error);
    return {code, out.str(), error.str()};
}

std::string address_of(const background_http_server& entry) {
    return "127.0.0.1:" + std::to_string(entry.endpoint().port);
}

program_result run_with_entry(const background_http_server& entry,
                              std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"--entry", address_of(entry)});
    return run(arguments);
}

// Returns the address of a server that has stopped.
std::string unreachable_address() {
    const background_http_server stopped{[](const http_request&) { return http_response{}; }};
    return address_of(stopped);
}

http_response json_response(const google::protobuf::Message& message, int status = 200) {
    return {.status = status, .headers = {}, .body = print_json(message)};
}

http_response problem_response(int status, const std::string& ran) {
    wire::Problem body;
    body.set_title("the queue is full");
    body.set_reason("queue_full");
    body.set_ran(ran);
    body.set_remedy("send it again later");
    return json_response(body, status);
}

bool contains(const std::string& text, const std::string& substring) {
    return text.find(substring) != std::string::npos;
}

// A ticket file in the temporary directory, removed by the destructor.
class temporary_file {
public:
    explicit temporary_file(const std::string& text) {
        const file_descriptor created{mkstemp(path_.data())};
        std::ofstream{path_} << text;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    ~temporary_file() { unlink(path_.c_str()); }

    const std::string& path() const { return path_; }

private:
    std::string path_ = (std::filesystem::temp_directory_path() / "ticket-XXXXXX").string();
};

TEST_CASE("an invalid command line is rejected before any request is sent", "[ctl]") {
    const background_http_server entry{[](const http_request&) { return http_response{}; }};
    const std::vector<std::string> invalid_arguments = GENERATE(
        std::vector<std::string>{}, std::vector<std::string>{"dance"},
        std::vector<std::string>{"ticket"}, std::vector<std::string>{"ticket", "show", "seven"},
        std::vector<std::string>{"--output", "xml", "status"},
        std::vector<std::string>{"ticket", "apply", "/no/such/file"},
        std::vector<std::string>{"job", "submit", "halls"},
        std::vector<std::string>{"--entry", "nowhere", "status"},
        std::vector<std::string>{"request", "send", "halls", "sort", "--header", "odd"});
    const auto result = run_with_entry(entry, invalid_arguments);
    CHECK(result.code == exit_code::usage);
    CHECK_FALSE(result.error.empty());
    CHECK(entry.requests().empty());
}

TEST_CASE("help, version and completion succeed", "[ctl]") {
    CHECK(contains(run({"--help"}).out, "Exit codes"));
    CHECK(contains(run({"--help"}).out, "Examples"));
    CHECK(run({"--version"}).code == exit_code::ok);
    const auto script = run({"completion", "bash"});
    CHECK(script.code == exit_code::ok);
    CHECK(contains(script.out, "apply show diff status"));
    CHECK(contains(script.out, "complete -F"));
}

TEST_CASE("the next entry is tried when one cannot be reached or is not ready", "[ctl]") {
    wire::StatusView status;
    status.set_id("entry-2");
    const background_http_server ready{[&](const http_request&) { return json_response(status); }};
    const background_http_server starting{
        [](const http_request&) { return problem_response(503, "no"); }};
    const auto result = run({"--entry", unreachable_address(), "--entry", address_of(starting),
                             "--entry", address_of(ready), "--token", "secret", "status"});
    CHECK(result.code == exit_code::ok);
    CHECK(contains(result.out, "entry-2"));
    REQUIRE(ready.requests().size() == 1);
    CHECK(ready.requests()[0].path == "/v1/status");
    CHECK(ready.requests()[0].header("Authorization") == "Bearer secret");
}

TEST_CASE("the exit code reports the outcome of a command", "[ctl]") {
    SECTION("no entry can be reached") {
        const auto result = run({"--entry", unreachable_address(), "worker", "list"});
        CHECK(result.code == exit_code::unreachable);
        CHECK(contains(result.error, "nothing was done"));
    }
    SECTION("a refusal prints its reason, whether the request ran, and the remedy") {
        const background_http_server entry{
            [](const http_request&) { return problem_response(429, "no"); }};
        const auto result = run_with_entry(entry, {"request", "send", "halls", "sort"});
        CHECK(result.code == exit_code::refused);
        CHECK(contains(result.error, "queue_full"));
        CHECK(contains(result.error, "ran: no"));
        CHECK(contains(result.error, "send it again later"));
    }
    SECTION("a refusal of a request that may have run is unknown") {
        const background_http_server entry{
            [](const http_request&) { return problem_response(502, "unknown"); }};
        CHECK(run_with_entry(entry, {"request", "send", "halls", "sort"}).code ==
              exit_code::unknown);
    }
    SECTION("an error response without problem details is unknown") {
        const background_http_server entry{[](const http_request&) {
            return http_response{.status = 500, .headers = {}, .body = "oops"};
        }};
        CHECK(run_with_entry(entry, {"request", "send", "halls", "sort"}).code ==
              exit_code::unknown);
    }
}

TEST_CASE("a request carries its key, deadline, region and headers", "[ctl]") {
    const background_http_server entry{[](const http_request&) {
        return http_response{.status = 200, .headers = {}, .body = "sorted"};
    }};
    const auto result = run_with_entry(
        entry, {"request", "send", "hat halls", "sort", "--body", "straw", "--key", "17-a",
                "--deadline-ms", "1500", "--region", "pongau", "--header", "X-Lot:  9"});
    CHECK(result.code == exit_code::ok);
    CHECK(result.out == "sorted\n");
    const auto sent = entry.requests().at(0);
    CHECK(sent.segments ==
          std::vector<std::string>{"v1", "workspaces", "hat halls", "requests", "sort"});
    CHECK(sent.body == "straw");
    CHECK(sent.header("Idempotency-Key") == "17-a");
    CHECK(sent.header("X-Deadline-Ms") == "1500");
    CHECK(sent.header("X-Caller-Region") == "pongau");
    CHECK(sent.header("X-Lot") == "9");
}

TEST_CASE("a ticket is compared and applied, and its status is shown", "[ctl]") {
    const temporary_file file{R"({"number": 7, "note": "rename"})"};
    wire::TicketDiff diff;
    wire::TicketStatus status;
    status.set_number(7);
    status.set_accepted(true);
    status.add_in_force()->set_id("entry-1");
    const background_http_server entry{[&](const http_request& request) {
        return request.path == "/v1/tickets/7/diff" ? json_response(diff) : json_response(status);
    }};

    SECTION("a ticket without changes is reported as such") {
        CHECK(
            contains(run_with_entry(entry, {"ticket", "diff", file.path()}).out, "change nothing"));
        CHECK(contains(run_with_entry(entry, {"ticket", "apply", file.path()}).out,
                       "changes nothing"));
    }
    SECTION("a ticket with changes is sent by PUT") {
        diff.add_items()->set_id("halls");
        CHECK(contains(run_with_entry(entry, {"ticket", "diff", file.path()}).out, "halls"));
        const auto result = run_with_entry(entry, {"ticket", "apply", file.path()});
        CHECK(result.code == exit_code::ok);
        CHECK(contains(result.out, "has been accepted.\n"));
        CHECK(contains(result.out, "entry-1"));
        CHECK(entry.requests().back().method == "PUT");
        CHECK(entry.requests().back().path == "/v1/tickets/7");
    }
    SECTION("the status of a ticket is shown") {
        CHECK(contains(run_with_entry(entry, {"ticket", "status", "7"}).out, "entry-1"));
    }
}

TEST_CASE("every error of an invalid ticket file is reported", "[ctl]") {
    const temporary_file file{R"({"nubmer": 7, "workspaces": [{"naem": "x"}]})"};
    const background_http_server entry{[](const http_request&) { return http_response{}; }};
    const auto result = run_with_entry(entry, {"ticket", "apply", file.path()});
    CHECK(result.code == exit_code::usage);
    CHECK(contains(result.error, "nubmer"));
    CHECK(contains(result.error, "naem"));
    CHECK(entry.requests().empty());
}

wire::JobView job_in_phase(const std::string& phase) {
    wire::JobView job;
    job.mutable_spec()->set_id("fit-1");
    job.set_phase(phase);
    return job;
}

TEST_CASE("jobs are submitted from options", "[ctl]") {
    const background_http_server entry{
        [](const http_request&) { return json_response(job_in_phase("queued")); }};
    const auto result =
        run_with_entry(entry, {"job", "submit", "halls", "--id", "fit-1", "--members", "4",
                               "--accelerators", "2", "--adjacency", "rack", "--urgent"});
    CHECK(result.code == exit_code::ok);
    CHECK(contains(result.out, "queued"));
    wire::JobSpec spec;
    REQUIRE(parse_strict_json(entry.requests().at(0).body, spec).empty());
    CHECK(spec.id() == "fit-1");
    CHECK(spec.shape().members() == 4);
    CHECK(spec.shape().per_member().accelerators() == 2);
    CHECK(spec.shape().adjacency() == wire::ADJACENCY_RACK);
    CHECK(spec.urgent());
}

TEST_CASE("watching a job prints its changes until it ends", "[ctl]") {
    const std::string final_phase = GENERATE("finished", "failed", "cancelled");
    std::atomic<int> polls{0};
    const background_http_server entry{[&](const http_request&) {
        const int poll = polls++;
        return json_response(job_in_phase(poll == 0  ? "queued"
                                          : poll < 3 ? "committed"
                                                     : final_phase));
    }};
    const auto result =
        run_with_entry(entry, {"job", "watch", "halls", "fit-1", "--interval-ms", "1"});
    CHECK(result.code == (final_phase == "finished" ? exit_code::ok : exit_code::refused));
    CHECK(result.out == "fit-1 queued\nfit-1 committed\nfit-1 " + final_phase + "\n");
}

TEST_CASE("cancelling a job that has ended changes nothing and reports so", "[ctl]") {
    const background_http_server entry{
        [](const http_request&) { return json_response(job_in_phase("finished")); }};
    const auto result = run_with_entry(entry, {"job", "cancel", "halls", "fit-1"});
    CHECK(result.code == exit_code::ok);
    CHECK(contains(result.error, "nothing was changed"));
    for (const auto& request : entry.requests()) {
        CHECK(request.method == "GET");
    }
}

TEST_CASE("JSON output is the unchanged response body", "[ctl]") {
    const std::string body = "{\n \"items\": []\n}\n";
    const background_http_server entry{[&](const http_request&) {
        return http_response{.status = 200, .headers = {}, .body = body};
    }};
    const std::vector<std::string> command = GENERATE(
        std::vector<std::string>{"worker", "list"}, std::vector<std::string>{"target", "list"},
        std::vector<std::string>{"workspace", "list"}, std::vector<std::string>{"job", "list"},
        std::vector<std::string>{"confused"});
    auto arguments = command;
    CHECK_FALSE(run_with_entry(entry, arguments).out.empty());
    arguments.insert(arguments.begin(), {"--output", "json"});
    CHECK(run_with_entry(entry, arguments).out == body);
}

// Guards against a table that hides which client is at a limit.
TEST_CASE("the clients at a limit are shown with cause and address", "[ctl]") {
    const std::string body = R"({"clients": {"127.0.0.9": {"bytes": 65536}},)"
                             R"( "limited": {"bytes": {"total": 3, "last_address": "127.0.0.8"},)"
                             R"( "requests": {"total": 0, "last_address": ""}}})";
    const background_http_server entry{[&](const http_request&) {
        return http_response{.status = 200, .headers = {}, .body = body};
    }};
    const auto result = run_with_entry(entry, {"clients"});
    CHECK(result.code == exit_code::ok);
    CHECK(contains(result.out, "127.0.0.9"));
    CHECK(contains(result.out, "65536"));
    CHECK(contains(result.out, "127.0.0.8"));
    CHECK_FALSE(contains(result.out, "requests"));
}

TEST_CASE("a process without client limits is reported", "[ctl]") {
    const std::string body = GENERATE("# HELP baobabrack_leading", R"({"clients": 3})");
    const background_http_server entry{[&](const http_request&) {
        return http_response{.status = 200, .headers = {}, .body = body};
    }};
    CHECK(run_with_entry(entry, {"clients"}).code != exit_code::ok);
}

}  // namespace
}  // namespace baobabrack
