#ifndef BAOBABRACK_WORKLOAD_CONFIG_SOURCE_HPP
#define BAOBABRACK_WORKLOAD_CONFIG_SOURCE_HPP

#include <optional>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/workload_config.hpp"

namespace baobabrack::workload {

/// Provides the latest version of the operator's configuration.
class config_source {
public:
    config_source() = default;
    config_source(const config_source&) = delete;
    config_source& operator=(const config_source&) = delete;
    virtual ~config_source() = default;

    /// @return the latest configuration, or null if none has been received
    virtual const workload_config* current() const = 0;

    /// @return the last time at which `current` was confirmed to be the latest version
    virtual std::optional<time_point> confirmed() const = 0;
};

}  // namespace baobabrack::workload

#endif
