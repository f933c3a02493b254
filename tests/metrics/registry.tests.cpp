#include "baobabrack/metrics/registry.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace std::chrono_literals;

TEST_CASE("A metric is identified by its name and labels", "[metrics]") {
    metrics_registry metrics;
    auto& first = metrics.get_counter("refusals_total", "Refusals.", {{"reason", "queue-full"}});
    first.add();
    metrics.get_counter("refusals_total", "Refusals.", {{"reason", "queue-full"}}).add(2);
    metrics.get_counter("refusals_total", "Refusals.", {{"reason", "a\"b"}}).add();

    CHECK(first.value() == 3);
    const auto text = metrics.render();
    CHECK(text.find("# TYPE refusals_total counter\n") != std::string::npos);
    CHECK(text.find("refusals_total{reason=\"queue-full\"} 3\n") != std::string::npos);
    CHECK(text.find("refusals_total{reason=\"a\\\"b\"} 1\n") != std::string::npos);
}

TEST_CASE("Latency histogram quantiles are accurate to the width of a bucket", "[metrics]") {
    latency_histogram latency;
    CHECK(latency.quantile(0.5) == 0us);
    for (int i = 1; i <= 100; ++i) {
        latency.record(std::chrono::milliseconds{i});
    }
    CHECK(latency.quantile(0.5) >= 50ms);
    CHECK(latency.quantile(0.5) <= 57ms);
    CHECK(latency.quantile(0.99) >= 99ms);
    CHECK(latency.quantile(0.99) <= 113ms);

    std::string text;
    latency.render(text, "wait_seconds", "class=\"a\"");
    CHECK(text.find("wait_seconds_bucket{class=\"a\",le=\"+Inf\"} 100\n") != std::string::npos);
    CHECK(text.find("wait_seconds_count{class=\"a\"} 100\n") != std::string::npos);
}
