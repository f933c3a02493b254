#ifndef BAOBABRACK_WORKLOAD_CONFIG_SOURCE_HPP
#define BAOBABRACK_WORKLOAD_CONFIG_SOURCE_HPP

#include <optional>
#include <set>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/workload_config.hpp"

namespace baobabrack::workload {

/// Provides the latest version of the operator's configuration, and the data centres in which the
/// operator lets nothing more start.
class config_source {
public:
    config_source() = default;
    config_source(const config_source&) = delete;
    config_source& operator=(const config_source&) = delete;
    virtual ~config_source() = default;

    /// @return the latest configuration, or null if none has been received
    virtual const workload_config* current() const = 0;

    /// @return the evacuated data centres; none before the first confirmation
    virtual const std::set<data_centre_id>& evacuated() const = 0;

    /// @return the last time at which `current` and `evacuated` were confirmed to be the latest
    virtual std::optional<time_point> confirmed() const = 0;
};

}  // namespace baobabrack::workload

#endif
