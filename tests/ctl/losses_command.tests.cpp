#include "baobabrack/ctl/losses_command.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "baobabrack/ctl/program.hpp"
#include "baobabrack/transport/event_handles.hpp"

using namespace baobabrack;
using namespace baobabrack::ctl;

namespace {

// A log file in the temporary directory, removed by the destructor.
class log_file {
public:
    explicit log_file(const std::string& text) {
        const file_descriptor created{mkstemp(path_.data())};
        std::ofstream{path_} << text;
    }
    log_file(const log_file&) = delete;
    log_file& operator=(const log_file&) = delete;
    ~log_file() { unlink(path_.c_str()); }

    const std::string& path() const { return path_; }

private:
    std::string path_ = (std::filesystem::temp_directory_path() / "losses-XXXXXX").string();
};

constexpr auto leader_log = R"(
 1.5 s1 {"time":"2026-01-01T00:00:00Z","role":"scheduler","id":"s1","event":"job-submitted","job":"j","queue":"q","workspace":"w","steps":"1x1acc/0m/1MiB/1000ms","occurrences":0,"chain_ms":1000,"completion_target_ms":1000,"slack":2}
not a line of ours {
 1.6 s1 {"time":"2026-01-01T00:00:02Z","role":"scheduler","id":"s1","event":"run-assigned","job":"j","task":"j.0.0.0","run":1}
 1.7 s1 {"time":"2026-01-01T00:00:07Z","role":"scheduler","id":"s1","event":"run-ended","job":"j","task":"j.0.0.0","run":1,"reason":"failed","cause":"run_failed","lost_ms":3000,"saved_ms":1000,"start_ms":1000}
)";

}  // namespace

// Guards against a command that is not reachable, or that fails on lines of other programs.
TEST_CASE("The command prints the losses of a log as tables or as JSON", "[losses]") {
    const log_file file{leader_log};
    std::ostringstream out;
    std::ostringstream error;
    SECTION("tables") {
        CHECK(run_program({"losses", "--log", file.path()}, out, error) == exit_code::ok);
        CHECK(out.str().find("run_failed  1     3.0          24.0") != std::string::npos);
        CHECK(out.str().find("not_reported") != std::string::npos);
    }
    SECTION("JSON") {
        CHECK(run_program({"losses", "--json", "--log", file.path()}, out, error) == exit_code::ok);
        const auto report = nlohmann::json::parse(out.str());
        CHECK(report["has_leader_lines"] == true);
        REQUIRE(report["lost_work"].size() == 1);
        CHECK(report["lost_work"][0]["cause"] == "run_failed");
        CHECK(report["lost_work"][0]["saved_core_seconds"] == Approx(8));
        CHECK(report["queues"][0]["accepted"] == 1);
    }
    CHECK(error.str().empty());
}

// Guards against an empty report that reads as a run without losses.
TEST_CASE("The command says that a log has no lines of a leader", "[losses]") {
    const log_file file{"{\"time\":\"2026-01-01T00:00:00Z\",\"event\":\"started\"}\n"};
    std::ostringstream out;
    std::ostringstream error;
    CHECK(run_program({"losses", "--log", file.path()}, out, error) == exit_code::refused);
    CHECK(out.str().empty());
    CHECK(error.str().find("no lines of a leader") != std::string::npos);
    CHECK(run_program({"losses", "--log", file.path() + "-missing"}, out, error) ==
          exit_code::usage);
}
