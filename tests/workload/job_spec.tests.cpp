#include "baobabrack/workload/job_spec.hpp"

#include <catch2/catch.hpp>
#include <cstdint>

#include "baobabrack/workload.pb.h"
#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

// Such an estimate overflowed when it was converted to microseconds.
TEST_CASE("A stored estimate out of range is clamped", "[job_spec]") {
    auto record = to_wire(testing::job_of("j", 1, 1));
    const auto estimate_of = [&](std::uint64_t ms) {
        record.mutable_steps(0)->set_estimated_ms(ms);
        const auto spec = from_wire(record);
        REQUIRE(spec);
        return spec.value().steps.front().estimated;
    };
    CHECK(estimate_of(900) == 900ms);
    CHECK(estimate_of(0) == 1ms);
    CHECK(estimate_of(86'400'000) == 24h);
    CHECK(estimate_of(86'400'001) == 24h);
    CHECK(estimate_of(std::uint64_t{1} << 63U) == 24h);
}
