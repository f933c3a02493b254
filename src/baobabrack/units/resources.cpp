#include "baobabrack/units/resources.hpp"

#include <algorithm>

#include "baobabrack/platform.pb.h"

namespace baobabrack {

namespace {

constexpr auto unlimited = std::numeric_limits<std::uint32_t>::max();

std::uint32_t quotient(std::uint32_t available, std::uint32_t requested) {
    return requested == 0 ? unlimited : available / requested;
}

}  // namespace

bool resources::can_fit(const resources& requested) const {
    return fit_count(requested) > 0;
}

std::uint32_t resources::fit_count(const resources& requested) const {
    return std::min({quotient(cpu.get(), requested.cpu.get()),
                     quotient(memory.get(), requested.memory.get()),
                     quotient(accelerators.get(), requested.accelerators.get())});
}

void resources::add(const resources& unit, std::uint32_t count) {
    cpu = cpu_millicores{cpu.get() + unit.cpu.get() * count};
    memory = memory_mib{memory.get() + unit.memory.get() * count};
    accelerators = accelerator_count{accelerators.get() + unit.accelerators.get() * count};
}

void resources::subtract(const resources& unit, std::uint32_t count) {
    cpu = cpu_millicores{cpu.get() - unit.cpu.get() * count};
    memory = memory_mib{memory.get() - unit.memory.get() * count};
    accelerators = accelerator_count{accelerators.get() - unit.accelerators.get() * count};
}

resources from_wire(const wire::Resources& amount) {
    return {.cpu = cpu_millicores{amount.cpu_millicores()},
            .memory = memory_mib{amount.memory_mib()},
            .accelerators = accelerator_count{amount.accelerators()}};
}

wire::Resources to_wire(const resources& amount) {
    wire::Resources message;
    message.set_cpu_millicores(amount.cpu.get());
    message.set_memory_mib(amount.memory.get());
    message.set_accelerators(amount.accelerators.get());
    return message;
}

}  // namespace baobabrack
