#include "baobabrack/transport/connection_budget.hpp"

#include <algorithm>

namespace baobabrack {

namespace {

// Objects of evhttp and of this process, including the heap's overhead.
constexpr std::size_t object_bytes = 12UL << 10U;
// A connection has a buffer for each direction, and the kernel doubles the requested size.
constexpr std::size_t kernel_buffers = 4;
// Fraction of the memory up to which connections get their full size.
constexpr std::size_t full_size_fraction = 2;

}  // namespace

std::size_t connection_size::bytes() const {
    return kernel_buffers * socket_buffer + read_ahead + free_response_bytes + object_bytes;
}

connection_size connection_budget::take(connection_size full) {
    const bool fits = used_ + full.bytes() <= max_bytes_ / full_size_fraction;
    const auto granted =
        fits
            ? full
            : connection_size{
                  .read_ahead = std::min(full.read_ahead, min_connection_size.read_ahead),
                  .socket_buffer = std::min(full.socket_buffer, min_connection_size.socket_buffer)};
    used_ += granted.bytes();
    return granted;
}

void connection_budget::release(const connection_size& size) {
    used_ -= std::min(used_, size.bytes());
}

bool connection_budget::has_room(std::size_t reserved) const {
    return used_ + reserved + min_connection_size.bytes() <= max_bytes_;
}

double connection_budget::use(std::size_t reserved) const {
    return static_cast<double>(used_ + reserved) / static_cast<double>(max_bytes_);
}

}  // namespace baobabrack
