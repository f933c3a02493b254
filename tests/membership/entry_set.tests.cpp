#include "baobabrack/membership/entry_set.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/records.pb.h"

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

wire::Record join_record(const std::string& entry, std::uint64_t version) {
    wire::Record record;
    record.mutable_entry_joined()->set_entry(entry);
    record.mutable_entry_joined()->set_incarnation(version);
    return record;
}

wire::Record leave_record(const std::string& entry, std::uint64_t version, bool drained) {
    wire::Record record;
    record.mutable_entry_left()->set_entry(entry);
    record.mutable_entry_left()->set_incarnation(version);
    record.mutable_entry_left()->set_drained(drained);
    return record;
}

record_position position_at(std::uint64_t offset, wall_time written = wall_time{1h}) {
    return {.offset = log_offset{offset}, .written_at = written};
}

}  // namespace

TEST_CASE("Only an entry that drained is not listed as departed", "[entries]") {
    entry_set entries;
    REQUIRE(entries.apply(join_record("e1", 1), position_at(1)));
    SECTION("drained") {
        REQUIRE(entries.apply(leave_record("e1", 1, true), position_at(2)));
        CHECK(entries.departed().empty());
    }
    SECTION("removed") {
        REQUIRE(entries.apply(leave_record("e1", 1, false), position_at(2)));
        CHECK(entries.departed().size() == 1);
        CHECK_FALSE(entries.apply(join_record("e1", 1), position_at(3)));
        CHECK(entries.apply(join_record("e1", 2), position_at(4)));
    }
    SECTION("removed, then reported as drained") {
        REQUIRE(entries.apply(leave_record("e1", 1, false), position_at(2)));
        REQUIRE(entries.apply(leave_record("e1", 1, true), position_at(3)));
        CHECK(entries.departed().empty());
    }
    SECTION("replaced") {
        REQUIRE(entries.apply(join_record("e1", 2), position_at(2)));
        CHECK(entries.departed().begin()->second.replaced());
        CHECK_FALSE(entries.apply(leave_record("e1", 1, false), position_at(3)));
    }
    CHECK_FALSE(entries.is_joined(entry_id{"e1"}, incarnation{1}));
}

TEST_CASE("Entries are the same after save and load", "[entries]") {
    entry_set entries;
    REQUIRE(entries.apply(join_record("e1", 1), position_at(1)));
    REQUIRE(entries.apply(join_record("e2", 1), position_at(2)));
    REQUIRE(entries.apply(leave_record("e1", 1, false), position_at(3)));
    entry_set copy;
    REQUIRE(copy.load(entries.save()));
    CHECK(copy.save() == entries.save());
}
