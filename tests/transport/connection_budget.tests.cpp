#include "baobabrack/transport/connection_budget.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace baobabrack {
namespace {

constexpr std::size_t max_bytes = 48UL << 20U;

TEST_CASE("connections never hold more than the budget together", "[connections]") {
    connection_budget budget{max_bytes};
    const connection_size full{.read_ahead = GENERATE(as<std::size_t>{}, 16UL << 10U, 1UL << 20U),
                               .socket_buffer = 32UL << 10U};
    std::vector<connection_size> granted;
    std::size_t sum = 0;
    while (budget.has_room()) {
        granted.push_back(budget.take(full));
        sum += granted.back().bytes();
    }
    CHECK(sum <= max_bytes);
    CHECK(budget.used() == sum);
    CHECK(granted.front().read_ahead == full.read_ahead);
    CHECK(granted.back().bytes() == min_connection_size.bytes());
    // Callers of six data centres with ten clients of eight connections each.
    CHECK(granted.size() >= 480);
    for (const auto& size : granted) {
        budget.release(size);
    }
    CHECK(budget.used() == 0);
}

TEST_CASE("a share of the budget of connections can be reserved", "[connections]") {
    connection_budget budget{max_bytes};
    const auto reserved = 10 * min_connection_size.bytes();
    while (budget.has_room(reserved)) {
        budget.take({});
    }
    CHECK(budget.use(reserved) > 0.99);
    std::size_t others = 0;
    while (budget.has_room()) {
        budget.take(min_connection_size);
        ++others;
    }
    CHECK(others >= 10);
}

}  // namespace
}  // namespace baobabrack
