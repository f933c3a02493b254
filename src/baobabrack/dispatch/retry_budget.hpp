#ifndef BAOBABRACK_DISPATCH_RETRY_BUDGET_HPP
#define BAOBABRACK_DISPATCH_RETRY_BUDGET_HPP

#include <algorithm>

namespace baobabrack {

/// Allows retries as a share of first attempts, for all requests of a service together.
class retry_budget {
public:
    struct options {
        /// Retries earned by each first attempt.
        double ratio = 0.08;
        /// Most retries that can be saved up.
        double most_saved = 20;
        double at_start = 5;
    };

    explicit retry_budget(options opts) : options_(opts), saved_(opts.at_start) {}

    /// Counts a first attempt.
    void earn() { saved_ = std::min(options_.most_saved, saved_ + options_.ratio); }

    /// @return whether a retry is allowed, which is then spent
    bool spend() {
        if (saved_ < 1) {
            return false;
        }
        saved_ -= 1;
        return true;
    }

private:
    options options_;
    double saved_;
};

}  // namespace baobabrack

#endif
