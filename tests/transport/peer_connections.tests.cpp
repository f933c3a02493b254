#include "baobabrack/transport/peer_connections.hpp"

#include <catch2/catch.hpp>

namespace baobabrack {
namespace {

using namespace std::chrono_literals;
using descriptors = std::vector<int>;

constexpr time_point start{1h};
const std::string stranger = "10.9.9.9";

TEST_CASE("connections that are not proved are limited", "[peers]") {
    peer_connections connections{{.max_unproved = 2}};
    CHECK_FALSE(connections.add(1, stranger, start));
    CHECK_FALSE(connections.add(2, stranger, start + 1ms));
    CHECK(connections.add(3, stranger, start + 2ms) == 3);
    connections.remove(3);
    SECTION("the oldest gives way after the time for the proof") {
        CHECK(connections.add(4, stranger, start + 1s) == 1);
    }
    SECTION("a valid message is a proof") {
        connections.record_message(1, start);
        CHECK_FALSE(connections.add(4, stranger, start + 1s));
    }
    SECTION("an expected address is a proof") {
        connections.expect("10.0.0.7");
        CHECK_FALSE(connections.add(4, "10.0.0.7", start + 1s));
    }
    SECTION("a closed connection does not count") {
        connections.remove(2);
        CHECK_FALSE(connections.add(4, stranger, start + 1s));
    }
}

TEST_CASE("a proved connection is not closed for another", "[peers]") {
    peer_connections connections{{.max_connections = 3}};
    CHECK_FALSE(connections.add(1, stranger, start));
    CHECK_FALSE(connections.add(2, stranger, start + 1s));
    CHECK_FALSE(connections.add(3, stranger, start + 2s));
    connections.record_message(1, start + 2s);
    CHECK(connections.add(4, stranger, start + 9s) == 2);
    connections.remove(2);
    connections.record_message(3, start + 9s);
    connections.record_message(4, start + 9s);
    CHECK(connections.add(5, stranger, start + 20s) == 5);
}

TEST_CASE("a message is counted for the connection that it came on only", "[peers]") {
    peer_connections connections{{}};
    connections.record_message(7, start);
    CHECK(connections.size() == 0);
    connections.add(7, stranger, start);
    connections.remove(7);
    connections.remove(7);
    CHECK(connections.size() == 0);
}

TEST_CASE("received bytes without a message are limited over all connections", "[peers]") {
    peer_connections connections{{.silence = 2s, .max_silent_bytes = 100}};
    connections.add(1, stranger, start);
    connections.add(2, stranger, start);
    connections.add(3, stranger, start);
    connections.record_message(3, start + 1s);
    CHECK(connections.silent(start + 1s).empty());
    CHECK(connections.silent(start + 2s) == descriptors{1, 2});
    CHECK(connections.choose_over_limit({{1, 60}, {2, 40}}).empty());
    CHECK(connections.silent(start + 3s) == descriptors{1, 2, 3});
    // What a connection had received before its last message does not count.
    CHECK(connections.choose_over_limit({{1, 60}, {2, 40}, {3, 9000}}).empty());
    CHECK(connections.choose_over_limit({{1, 60}, {2, 40}, {3, 9080}}) == descriptors{3});
    connections.record_message(3, start + 4s);
    CHECK(connections.choose_over_limit({{1, 60}, {2, 41}, {3, 9080}}) == descriptors{1});
}

}  // namespace
}  // namespace baobabrack
