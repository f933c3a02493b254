#include "baobabrack/workload/worker_lease.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{100s};

worker_lease granted() {
    worker_lease lease;
    lease.begin({});
    lease.take_clock(worker_time{5000}, now);
    lease.grant(now + 6s);
    return lease;
}

}  // namespace

TEST_CASE("A grant is turned into the worker's clock", "[lease]") {
    auto lease = granted();
    CHECK(lease.extend(now) == worker_time{11'000});
    CHECK(lease.extend(now + 2s) == worker_time{11'000});
    CHECK(lease.left(now + 2s) == 4s);
    CHECK_FALSE(lease.extend(now + 6s));
}

TEST_CASE("Without a clock or a grant nothing is extended", "[lease]") {
    worker_lease lease;
    lease.begin({});
    lease.grant(now + 6s);
    CHECK_FALSE(lease.extend(now));
    worker_lease ungranted;
    ungranted.take_clock(worker_time{5000}, now);
    CHECK_FALSE(ungranted.extend(now));
    CHECK(lease.left(now) == 0s);
}

TEST_CASE("A grant that arrives late never shortens an earlier one", "[lease]") {
    auto lease = granted();
    lease.grant(now + 1s);
    CHECK(lease.extend(now) == worker_time{11'000});
}

TEST_CASE("A silent worker's lease lapses until the leader has heard that it is back", "[lease]") {
    auto lease = granted();
    lease.extend(now);
    lease.suspend();
    lease.grant(now + 9s);
    CHECK_FALSE(lease.extend(now + 2s));
    CHECK(lease.left(now + 2s) == 4s);
    lease.resume(7);
    lease.answered(6);
    CHECK_FALSE(lease.extend(now + 2s));
    lease.answered(7);
    CHECK(lease.extend(now + 2s) == worker_time{14'000});
}

TEST_CASE("A new life begins without a lease, a new guard with the longest there is", "[lease]") {
    auto lease = granted();
    lease.extend(now);
    lease.begin({});
    CHECK(lease.left(now) == 0s);
    lease.begin(now + 10s);
    CHECK(lease.left(now) == 10s);
}
