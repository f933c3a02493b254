#include "baobabrack/settings/settings.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace baobabrack;

namespace {

bool has_problem(const std::vector<document_problem>& problems, const std::string& path) {
    return std::any_of(problems.begin(), problems.end(),
                       [&](const auto& problem) { return problem.path == path; });
}

}  // namespace

TEST_CASE("Printed defaults are valid settings", "[settings]") {
    const auto* role = GENERATE("entry", "guard");
    const auto parsed = parse_settings(print_json(default_settings(role)));
    CHECK(describe(parsed.problems).empty());
}

// Guards against limits that reject ordinary clients or bound nothing.
TEST_CASE("Limits for clients have defaults and ranges", "[settings]") {
    auto settings = default_settings("entry");
    CHECK(settings.clients().read_ahead_bytes() == 16'384);
    CHECK(settings.clients().max_bytes() == 16'777'216);
    auto& clients = *settings.mutable_clients();
    clients.set_max_bytes(1);
    clients.set_max_requests(1);
    clients.set_address_share_percent(101);
    clients.set_read_ahead_bytes(16'383);
    clients.set_receive_timeout_ms(999);
    clients.set_send_timeout_ms(600'001);
    clients.set_socket_buffer_bytes(1);
    const auto problems = check_settings(settings);
    CHECK(problems.size() == 7);
    CHECK(has_problem(problems, "clients.max_bytes"));
    CHECK(has_problem(problems, "clients.read_ahead_bytes"));
    CHECK(has_problem(problems, "clients.socket_buffer_bytes"));
}

TEST_CASE("All problems of a document are reported at once", "[settings]") {
    SECTION("unknown keys and wrong types") {
        const auto parsed = parse_settings(R"({
            "id": 7, "colour": "red",
            "entry": {"log": {"append_timeout_ms": "soon"}, "peers": {"id": "x"}}})");
        CHECK(parsed.problems.size() == 4);
        CHECK(has_problem(parsed.problems, "id"));
        CHECK(has_problem(parsed.problems, "colour"));
        CHECK(has_problem(parsed.problems, "entry.log.append_timeout_ms"));
        CHECK(has_problem(parsed.problems, "entry.peers"));
        CHECK(describe(parsed.problems).find("in milliseconds") != std::string::npos);
    }
    SECTION("violated rules") {
        const auto parsed = parse_settings(R"({
            "id": "e1", "location": {"region": "r"}, "log_level": "loud",
            "entry": {"http": {"listen": {"host": "example", "port": 70000}},
                      "peers": [{"id": "e1", "zmq_endpoint": "tcp://127.0.0.1:1"}],
                      "zmq_endpoint": "inproc://x"}})");
        for (const auto* path : {"location.data_centre", "log_level", "entry.http.listen.host",
                                 "entry.http.listen.port", "entry.peers[0].id",
                                 "entry.zmq_endpoint", "entry.log.endpoint.host"}) {
            CAPTURE(path);
            CHECK(has_problem(parsed.problems, path));
        }
    }
    SECTION("invalid JSON") {
        CHECK(parse_settings("{\"id\":").problems.size() == 1);
        CHECK(parse_settings("[]").problems.size() == 1);
    }
}

TEST_CASE("A worker guard needs the contact timeout", "[settings]") {
    wire::Settings settings;
    settings.mutable_worker_guard()->mutable_bounds()->set_most_lease_ms(10'000);
    const auto* path = "worker_guard.bounds.contact_timeout_ms";
    CHECK(has_problem(check_settings(settings), path));
    settings.mutable_worker_guard()->mutable_bounds()->set_contact_timeout_ms(3000);
    CHECK_FALSE(has_problem(check_settings(settings), path));
}

TEST_CASE("The bound of evacuations is 0 or long enough for information to arrive", "[settings]") {
    wire::Settings settings;
    auto& bounds = GENERATE(true, false) ? *settings.mutable_scheduler()->mutable_bounds()
                                         : *settings.mutable_worker_guard()->mutable_bounds();
    const std::string path = std::string{settings.has_scheduler() ? "scheduler" : "worker_guard"} +
                             ".bounds.evacuation_ms";
    CHECK_FALSE(has_problem(check_settings(settings), path));
    bounds.set_evacuation_ms(5000);
    CHECK_FALSE(has_problem(check_settings(settings), path));
    for (const double wrong : {-1.0, 1500.0, 4e6}) {
        CAPTURE(wrong);
        bounds.set_evacuation_ms(wrong);
        CHECK(has_problem(check_settings(settings), path));
    }
}

TEST_CASE("Administration without keys is allowed only on loopback", "[settings]") {
    auto settings = default_settings("entry");
    settings.mutable_entry()->mutable_http()->mutable_listen()->set_host("10.0.0.1");
    CHECK(has_problem(check_settings(settings), "entry.administration.keys"));

    auto& key = *settings.mutable_entry()->mutable_administration()->add_keys();
    key.set_operator_("olga");
    key.set_token("0123456789abcdef");
    CHECK(check_settings(settings).empty());
}

TEST_CASE("The limits of clients must fit into half of the memory", "[settings]") {
    auto settings = default_settings("entry");
    auto& clients = *settings.mutable_clients();
    const auto* path = "clients.memory_bytes";
    CHECK(check_settings(settings).empty());
    SECTION("by the budget of connections") {
        clients.set_max_connection_bytes(49UL << 20U);
    }
    SECTION("by the budget of requests") {
        clients.set_max_bytes(17UL << 20U);
    }
    SECTION("by the memory") {
        clients.set_memory_bytes(127UL << 20U);
    }
    CHECK(has_problem(check_settings(settings), path));
    clients.set_memory_bytes(1UL << 30U);
    CHECK(check_settings(settings).empty());
}

TEST_CASE("A budget of connections that serves no server is refused", "[settings]") {
    auto settings = default_settings("entry");
    settings.mutable_clients()->set_max_connection_bytes(1UL << 20U);
    CHECK(has_problem(check_settings(settings), "clients.max_connection_bytes"));
}
