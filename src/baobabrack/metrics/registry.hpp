#ifndef BAOBABRACK_METRICS_REGISTRY_HPP
#define BAOBABRACK_METRICS_REGISTRY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/metrics/latency_histogram.hpp"

namespace baobabrack {

/// A metric whose value only increases.
class counter {
public:
    void add(std::uint64_t amount = 1) { value_ += amount; }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// A metric whose value can increase and decrease.
class gauge {
public:
    void set(double value) { value_ = value; }
    double value() const { return value_; }

private:
    double value_ = 0;
};

struct metric_label {
    std::string name;
    std::string value;
};
using metric_labels = std::vector<metric_label>;

/// Holds all metrics of a process. Returned references stay valid for the lifetime of
/// the registry.
class metrics_registry {
public:
    /// Returns the metric with this name and these labels, and creates it on first use.
    ///
    /// @param name   Prometheus name including the unit, such as `baobabrack_refusals_total`
    /// @param help   one-line description for operators; the first call for a name sets it
    /// @param labels identify the series together with the name; their order matters
    counter& get_counter(std::string_view name, std::string_view help,
                         const metric_labels& labels = {});
    gauge& get_gauge(std::string_view name, std::string_view help,
                     const metric_labels& labels = {});
    latency_histogram& get_latency_histogram(std::string_view name, std::string_view help,
                                             const metric_labels& labels = {});

    /// @return all metrics in the Prometheus text format
    std::string render() const;

private:
    template <typename Metric>
    struct family {
        std::string help;
        // Keyed by the rendered labels without the braces.
        std::map<std::string, Metric> series;
    };
    template <typename Metric>
    using families = std::map<std::string, family<Metric>, std::less<>>;

    template <typename Metric>
    static Metric& get(families<Metric>& metric_families, std::string_view name,
                       std::string_view help, const metric_labels& labels);

    families<counter> counters_;
    families<gauge> gauges_;
    families<latency_histogram> latencies_;
};

}  // namespace baobabrack

#endif
