#ifndef BAOBABRACK_ENTRY_AUTHORIZATION_HPP
#define BAOBABRACK_ENTRY_AUTHORIZATION_HPP

#include <string>
#include <string_view>

#include "baobabrack/config.pb.h"
#include "baobabrack/units/failure.hpp"

namespace baobabrack {

/// Authenticates operators by the bearer tokens listed in the settings.
class authorization {
public:
    explicit authorization(wire::AdministrationSettings settings)
        : settings_(std::move(settings)) {}

    /// Checks a bearer token.
    ///
    /// Authentication is disabled while the settings list no key.
    ///
    /// @param header the value of the Authorization header
    /// @return the name of the operator who owns the token, "anonymous" if authentication is
    ///         disabled, or a `forbidden` failure if the token is missing or unknown
    result<std::string> authenticate(std::string_view header) const;

private:
    wire::AdministrationSettings settings_;
};

}  // namespace baobabrack

#endif
