#include "baobabrack/workload/worker_lease.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{100s};

worker_lease granted() {
    worker_lease lease;
    lease.reset({});
    lease.update_clock(worker_time{5000}, now);
    lease.grant(now + 6s);
    return lease;
}

}  // namespace

TEST_CASE("A grant is converted to the worker's clock", "[lease]") {
    auto lease = granted();
    CHECK(lease.extend(now) == worker_time{11'000});
    // The clock may have stopped since it was read.
    CHECK(lease.extend(now + 2s) == worker_time{9'000});
    CHECK(lease.remaining(now + 2s) == 4s);
    CHECK_FALSE(lease.extend(now + 6s));
}

TEST_CASE("Without a clock or a grant nothing is extended", "[lease]") {
    worker_lease lease;
    lease.reset({});
    lease.grant(now + 6s);
    CHECK_FALSE(lease.extend(now));
    worker_lease ungranted;
    ungranted.update_clock(worker_time{5000}, now);
    CHECK_FALSE(ungranted.extend(now));
    CHECK(lease.remaining(now) == 0s);
}

TEST_CASE("A grant that arrives late never shortens an earlier one", "[lease]") {
    auto lease = granted();
    lease.grant(now + 1s);
    CHECK(lease.extend(now) == worker_time{11'000});
}

TEST_CASE("The lease of an unresponsive worker is not extended until its return is acknowledged",
          "[lease]") {
    auto lease = granted();
    lease.extend(now);
    lease.suspend();
    lease.grant(now + 9s);
    CHECK_FALSE(lease.extend(now + 2s));
    CHECK(lease.remaining(now + 2s) == 4s);
    lease.resume(7);
    lease.acknowledge_report(6);
    CHECK_FALSE(lease.extend(now + 2s));
    lease.acknowledge_report(7);
    CHECK(lease.extend(now + 2s) == worker_time{12'000});
}

// The worker's clock does not count the time for which its host is suspended; a lease that was
// computed as if it did lasted longer than the grant by that time.
TEST_CASE("A lease does not outlast its grant although the worker's clock has stopped meanwhile",
          "[lease]") {
    auto lease = granted();
    lease.grant(now + 13s);
    const auto stopped_clock = worker_time{5000};
    const auto until = lease.extend(now + 7s);
    REQUIRE(until);
    CHECK(until->get() - stopped_clock.get() <= 6000);
}

TEST_CASE("A lease that may last longer for another reason is reported so", "[lease]") {
    auto lease = granted();
    lease.extend(now);
    lease.assume(now + 10s);
    CHECK(lease.remaining(now + 1s) == 9s);
    lease.assume(now + 2s);
    CHECK(lease.remaining(now + 1s) == 9s);
}

TEST_CASE("A new worker instance starts without a lease, a new guard with the longest one",
          "[lease]") {
    auto lease = granted();
    lease.extend(now);
    lease.reset({});
    CHECK(lease.remaining(now) == 0s);
    lease.reset(now + 10s);
    CHECK(lease.remaining(now) == 10s);
}
