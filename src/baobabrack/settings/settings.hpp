#ifndef BAOBABRACK_SETTINGS_SETTINGS_HPP
#define BAOBABRACK_SETTINGS_SETTINGS_HPP

#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/config.pb.h"

namespace baobabrack {

/// A settings document as it was understood, or everything that is wrong with it.
struct parsed_settings {
    /// With defaults filled in; meaningful only if there is no problem.
    wire::Settings settings;
    std::vector<document_problem> problems;
};

/// Reads, completes and checks settings.
///
/// @param text a JSON document, see docs/settings.md
parsed_settings parse_settings(std::string_view text);

/// Reads a settings file; a file that cannot be read is a problem like any other.
parsed_settings read_settings_file(const std::string& path);

/// Sets every key that is absent and has a default.
void fill_defaults(wire::Settings& settings);

/// @return every rule that the settings break
std::vector<document_problem> check_settings(const wire::Settings& settings);

/// @return the defaults of a role, "entry" or "guard", with placeholders for what has none
wire::Settings default_settings(std::string_view role);

}  // namespace baobabrack

#endif
