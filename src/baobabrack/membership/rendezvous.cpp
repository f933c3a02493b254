#include "baobabrack/membership/rendezvous.hpp"

#include <xxhash.h>

namespace baobabrack {

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    const auto seed = XXH3_64bits(candidate.data(), candidate.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

entry_id rendezvous_pick(std::string_view key, const std::vector<entry_id>& candidates) {
    entry_id best;
    std::uint64_t best_weight = 0;
    for (const auto& candidate : candidates) {
        const auto weight = rendezvous_weight(key, candidate.get());
        if (best.get().empty() || weight > best_weight ||
            (weight == best_weight && candidate < best)) {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

}  // namespace baobabrack
