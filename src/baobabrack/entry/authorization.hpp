#ifndef BAOBABRACK_ENTRY_AUTHORIZATION_HPP
#define BAOBABRACK_ENTRY_AUTHORIZATION_HPP

#include <string>
#include <string_view>

#include "baobabrack/config.pb.h"
#include "baobabrack/units/failure.hpp"

namespace baobabrack {

/// Tells operators by their bearer tokens.
class authorization {
public:
    explicit authorization(wire::AdministrationSettings settings)
        : settings_(std::move(settings)) {}

    /// @param header the value of the Authorization header
    /// @return the operator; without any key in the settings everybody is "anonymous"
    result<std::string> authenticate(std::string_view header) const;

private:
    wire::AdministrationSettings settings_;
};

}  // namespace baobabrack

#endif
