#include "baobabrack/workload/borrowed_capacity.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace baobabrack::workload;

namespace {

run_unit unit_of(const std::string& workspace, std::uint32_t number, std::uint64_t accelerators,
                 double lost_work) {
    return {.workspace = workspace_id{workspace},
            .tasks = {{.step = {.job = job_id{workspace}}, .index = number}},
            .accelerators = accelerators,
            .lost_work = lost_work};
}

std::vector<std::uint32_t> borrowing(const std::vector<run_unit>& units,
                                     const guarantee_uses& uses) {
    std::vector<std::uint32_t> numbers;
    for (const auto& unit : find_borrowing_units(units, uses)) {
        numbers.push_back(unit.tasks.front().index);
    }
    return numbers;
}

}  // namespace

TEST_CASE("The units with the most work to lose stay within the guarantee", "[borrowed]") {
    const guarantee_uses uses{{workspace_id{"b"}, {.demand = 32, .guaranteed = 16}}};
    const std::vector<run_unit> units{unit_of("b", 1, 8, 1), unit_of("b", 2, 8, 3),
                                      unit_of("b", 3, 8, 2), unit_of("b", 4, 8, 0)};
    CHECK(borrowing(units, uses) == std::vector<std::uint32_t>{1, 4});
}

TEST_CASE("A unit larger than the guarantee does not take it from smaller ones", "[borrowed]") {
    const guarantee_uses uses{{workspace_id{"b"}, {.demand = 28, .guaranteed = 16}}};
    const std::vector<run_unit> units{unit_of("b", 1, 24, 100), unit_of("b", 2, 4, 1)};
    CHECK(borrowing(units, uses) == std::vector<std::uint32_t>{1});
}

TEST_CASE("A unit that no longer fits borrows whole, and a smaller one is kept", "[borrowed]") {
    const guarantee_uses uses{{workspace_id{"b"}, {.demand = 30, .guaranteed = 16}}};
    const std::vector<run_unit> units{unit_of("b", 1, 12, 3), unit_of("b", 2, 12, 2),
                                      unit_of("b", 3, 4, 1), unit_of("b", 4, 0, 0)};
    CHECK(borrowing(units, uses) == std::vector<std::uint32_t>{2});
}

TEST_CASE("A workspace within its guarantee borrows nothing, one without lives on loan",
          "[borrowed]") {
    const guarantee_uses uses{{workspace_id{"a"}, {.demand = 16, .guaranteed = 16}}};
    const std::vector<run_unit> units{unit_of("a", 1, 12, 0), unit_of("a", 2, 12, 0),
                                      unit_of("unknown", 3, 1, 9)};
    CHECK(borrowing(units, uses) == std::vector<std::uint32_t>{3});
}
