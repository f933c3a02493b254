#include "baobabrack/daemon/process_identity.hpp"

#include <chrono>
#include <random>

namespace baobabrack {

incarnation new_incarnation() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return incarnation{static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count())};
}

std::uint64_t new_seed() {
    std::random_device entropy;
    constexpr unsigned half_bits = 32;
    return (std::uint64_t{entropy()} << half_bits) | entropy();
}

location to_location(const wire::Location& place) {
    return {.region = region_id{place.region()},
            .data_centre = data_centre_id{place.data_centre()},
            .rack = rack_id{place.rack()}};
}

}  // namespace baobabrack
