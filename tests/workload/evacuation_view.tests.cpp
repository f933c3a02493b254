#include "baobabrack/workload/evacuation_view.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

constexpr time_point sent{100s};

wire::WorkloadOrders orders_of(std::int64_t confirmed_ms) {
    wire::WorkloadOrders orders;
    orders.set_report_sent_at_us(static_cast<std::uint64_t>(sent.time_since_epoch().count()));
    orders.mutable_evacuations()->add_data_centres("north");
    orders.mutable_evacuations()->set_confirmed(true);
    orders.mutable_evacuations()->set_confirmed_ms(confirmed_ms);
    return orders;
}

}  // namespace

TEST_CASE("The information may be as old as the bound less the margin", "[evacuation]") {
    evacuation_view view(data_centre_id{"north"}, 5s);
    view.apply(orders_of(-1000));
    CHECK(view.is_recent(sent + 2499ms));
    CHECK_FALSE(view.is_recent(sent + 2500ms));
    SECTION("newer orders of another leader may hold older information") {
        view.apply(orders_of(-3000));
        CHECK_FALSE(view.is_recent(sent + 500ms));
    }
}

TEST_CASE("Without a bound the information is never too old", "[evacuation]") {
    evacuation_view view(data_centre_id{"north"}, {});
    view.apply(orders_of(-1'000'000));
    CHECK(view.is_recent(sent + 24h));
    CHECK(view.is_evacuated({}));
}

TEST_CASE("Both the worker's data centre and that of its host count", "[evacuation]") {
    evacuation_view view(data_centre_id{"own"}, 5s);
    CHECK_FALSE(view.is_evacuated({}));
    view.apply(orders_of(0));
    CHECK_FALSE(view.is_evacuated(data_centre_id{"south"}));
    CHECK(view.is_evacuated(data_centre_id{"north"}));
    evacuation_view own(data_centre_id{"north"}, 5s);
    own.apply(orders_of(0));
    CHECK(own.is_evacuated(data_centre_id{"south"}));
}

TEST_CASE("Orders of a leader that does not tell of evacuations allow every start",
          "[evacuation]") {
    evacuation_view view(data_centre_id{"north"}, 5s);
    view.apply(orders_of(0));
    view.apply({});
    CHECK_FALSE(view.is_evacuated(data_centre_id{"north"}));
    CHECK(view.is_recent(sent + 1h));
}
