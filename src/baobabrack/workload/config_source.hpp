#ifndef BAOBABRACK_WORKLOAD_CONFIG_SOURCE_HPP
#define BAOBABRACK_WORKLOAD_CONFIG_SOURCE_HPP

#include <optional>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/workload_config.hpp"

namespace baobabrack::workload {

/// Where the operator's newest configuration comes from.
class config_source {
public:
    config_source() = default;
    config_source(const config_source&) = delete;
    config_source& operator=(const config_source&) = delete;
    virtual ~config_source() = default;

    /// @return the newest configuration, or null before the first
    virtual const workload_config* current() const = 0;

    /// @return the last moment at which `current` was certainly the newest
    virtual std::optional<time_point> confirmed() const = 0;
};

}  // namespace baobabrack::workload

#endif
