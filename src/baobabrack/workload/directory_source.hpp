#ifndef BAOBABRACK_WORKLOAD_DIRECTORY_SOURCE_HPP
#define BAOBABRACK_WORKLOAD_DIRECTORY_SOURCE_HPP

#include <optional>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/directory.hpp"

namespace baobabrack::workload {

/// Where the operator's newest configuration comes from.
class directory_source {
public:
    directory_source() = default;
    directory_source(const directory_source&) = delete;
    directory_source& operator=(const directory_source&) = delete;
    virtual ~directory_source() = default;

    /// @return the newest configuration, or null before the first
    virtual const directory* current() const = 0;

    /// @return the last moment at which `current` was certainly the newest
    virtual std::optional<time_point> confirmed() const = 0;
};

}  // namespace baobabrack::workload

#endif
