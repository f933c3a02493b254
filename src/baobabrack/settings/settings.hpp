#ifndef BAOBABRACK_SETTINGS_SETTINGS_HPP
#define BAOBABRACK_SETTINGS_SETTINGS_HPP

#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/config.pb.h"

namespace baobabrack {

/// Parsed settings, or all problems of the document.
struct parsed_settings {
    /// Includes the defaults. Valid only if there are no problems.
    wire::Settings settings;
    std::vector<document_problem> problems;
};

/// Parses settings, fills in the defaults and checks the result.
///
/// @param text a JSON document, see docs/settings.md
parsed_settings parse_settings(std::string_view text);

/// Reads and parses a settings file. A file that cannot be read is reported as a problem.
parsed_settings read_settings_file(const std::string& path);

/// Sets every absent key that has a default.
void fill_defaults(wire::Settings& settings);

/// @return a problem for every rule that the settings violate
std::vector<document_problem> check_settings(const wire::Settings& settings);

/// @param role "entry" or "guard"
/// @return the default settings of a role, with placeholders for keys without a default
wire::Settings default_settings(std::string_view role);

}  // namespace baobabrack

#endif
