#include "baobabrack/membership/target_registry.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

wire::TargetAnnouncement announcement(std::uint64_t version, std::uint64_t sequence,
                                      bool leaving = false) {
    wire::TargetAnnouncement message;
    message.set_target("t1");
    message.set_incarnation(version);
    message.set_sequence(sequence);
    message.set_leaving(leaving);
    return message;
}

}  // namespace

TEST_CASE("The leaving flag is sticky within an incarnation", "[target_registry]") {
    target_registry registry({});
    const time_point now{};
    REQUIRE(registry.handle_announcement(announcement(1, 2, true), now));
    CHECK_FALSE(registry.handle_announcement(announcement(1, 1), now));
    CHECK(registry.handle_announcement(announcement(1, 3), now));
    CHECK_FALSE(registry.accepts_work(*registry.find(target_id{"t1"}), now));
    CHECK(registry.handle_announcement(announcement(2, 1), now));
    CHECK(registry.accepts_work(*registry.find(target_id{"t1"}), now));
    CHECK_FALSE(registry.handle_announcement(announcement(1, 9), now));
}

TEST_CASE("A silent target receives no new work and is removed after the retention",
          "[target_registry]") {
    target_registry registry({.silence_limit = 6s, .retention = 10min});
    registry.handle_announcement(announcement(1, 1), time_point{});
    const auto& known = *registry.find(target_id{"t1"});
    CHECK(registry.accepts_work(known, time_point{6s}));
    CHECK_FALSE(registry.accepts_work(known, time_point{7s}));
    const auto count_before = registry.change_count();
    registry.expire(time_point{9min});
    CHECK(registry.change_count() == count_before);
    registry.expire(time_point{11min});
    CHECK(registry.find(target_id{"t1"}) == nullptr);
    CHECK(registry.change_count() > count_before);
}
