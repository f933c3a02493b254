#include "closed_load.hpp"

#include <algorithm>
#include <cmath>

namespace baobabrack::bench {

namespace {

constexpr int status_ok = 200;

}  // namespace

duration load_result::quantile(double share) {
    if (latencies.empty()) {
        return {};
    }
    const auto rank = std::ceil(share * static_cast<double>(latencies.size()));
    const auto index = static_cast<std::ptrdiff_t>(std::max(rank, 1.0)) - 1;
    std::nth_element(latencies.begin(), latencies.begin() + index, latencies.end());
    return latencies[static_cast<std::size_t>(index)];
}

double load_result::per_second() const {
    const auto seconds = std::chrono::duration<double>(took).count();
    return seconds > 0 ? static_cast<double>(answered) / seconds : 0;
}

closed_load::closed_load(event_runtime& loop, http_client& client, options opts, call_maker make)
    : loop_(loop), client_(client), options_(opts), make_(std::move(make)) {
}

load_result closed_load::run() {
    const auto began = loop_.now();
    end_ = began + options_.span;
    for (std::size_t next = 0; next < options_.concurrency; ++next) {
        send();
    }
    loop_.run();
    result_.took = loop_.now() - began;
    return std::move(result_);
}

void closed_load::send() {
    ++open_;
    const auto sent = loop_.now();
    client_.send(make_(sent_++),
                 [this, sent](const http_outcome& outcome) { take(outcome, sent); });
}

void closed_load::take(const http_outcome& outcome, time_point sent) {
    --open_;
    const auto now = loop_.now();
    if (outcome.completion == http_completion::answered && outcome.response.status == status_ok) {
        ++result_.answered;
        result_.latencies.push_back(now - sent);
    } else {
        ++result_.failed;
    }
    if (now < end_) {
        send();
    } else if (open_ == 0) {
        loop_.stop();
    }
}

}  // namespace baobabrack::bench
