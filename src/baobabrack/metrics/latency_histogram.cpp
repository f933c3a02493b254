#include "baobabrack/metrics/latency_histogram.hpp"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <tuple>
#include <vector>

namespace baobabrack {

namespace {

namespace bh = boost::histogram;

constexpr int bucket_count = 160;
// Number of buckets that one line of the Prometheus text covers.
constexpr int rendered_stride = 8;
constexpr double min_seconds = 1e-5;
constexpr double max_seconds = 1e3;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using log_histogram = bh::histogram<std::tuple<log_axis>, bh::dense_storage<std::uint64_t>>;

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

}  // namespace

struct latency_histogram::buckets {
    log_histogram histogram{std::make_tuple(log_axis(bucket_count, min_seconds, max_seconds)),
                            bh::dense_storage<std::uint64_t>{}};
};

latency_histogram::latency_histogram() : buckets_(std::make_unique<buckets>()) {
}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::record(duration sample) {
    buckets_->histogram(std::max(to_seconds(sample), min_seconds));
    ++count_;
    total_ += sample;
}

duration latency_histogram::quantile(double probability) const {
    if (count_ == 0) {
        return duration::zero();
    }
    const auto rank = static_cast<std::uint64_t>(probability * static_cast<double>(count_ - 1)) + 1;
    std::uint64_t cumulative = 0;
    const auto& axis = buckets_->histogram.axis(0);
    for (int i = 0; i < axis.size(); ++i) {
        cumulative += buckets_->histogram.at(i);
        if (cumulative >= rank) {
            return from_seconds(axis.bin(i).upper());
        }
    }
    return from_seconds(max_seconds);
}

void latency_histogram::render(std::string& out, const std::string& name,
                               const std::string& labels) const {
    const auto& axis = buckets_->histogram.axis(0);
    const std::string separator = labels.empty() ? "" : ",";
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    std::uint64_t cumulative_count = 0;
    for (int i = 0; i < axis.size(); ++i) {
        cumulative_count += buckets_->histogram.at(i);
        if ((i + 1) % rendered_stride != 0) {
            continue;
        }
        out += name + "_bucket{" + labels + separator + "le=\"" +
               std::to_string(axis.bin(i).upper()) + "\"} " + std::to_string(cumulative_count) +
               "\n";
    }
    out += name + "_bucket{" + labels + separator + "le=\"+Inf\"} " + std::to_string(count_) + "\n";
    out += name + "_sum" + braces + " " + std::to_string(to_seconds(total_)) + "\n";
    out += name + "_count" + braces + " " + std::to_string(count_) + "\n";
}

}  // namespace baobabrack
