#ifndef BAOBABRACK_CTL_LOG_RECORDS_HPP
#define BAOBABRACK_CTL_LOG_RECORDS_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace baobabrack::ctl {

/// The time of a log line.
using log_time = std::chrono::sys_time<std::chrono::microseconds>;

/// One line of a log.
struct log_record {
    log_time time{};
    std::string role;
    /// Id of the process that wrote the line.
    std::string process;
    std::string event;
    /// The remaining fields; a value that is not a string is in JSON.
    std::map<std::string, std::string, std::less<>> fields;

    /// @return the text of a field, or an empty text
    const std::string& text(std::string_view name) const;
    /// @return the value of a field, or nothing if it is missing or not a whole number
    std::optional<std::int64_t> number(std::string_view name) const;
    /// @return the value of a field, or nothing if it is missing or not a finite number
    std::optional<double> decimal(std::string_view name) const;
};

/// @param text a time as in `2026-01-31T12:00:00.000001Z`; the fraction may be missing
/// @return nothing if it is not such a time
std::optional<log_time> parse_log_time(std::string_view text);

/// Parses a line of a log. Log collectors may prefix lines, so text before the JSON object is
/// ignored.
///
/// @return nothing if the line has no JSON object with a time and an event
std::optional<log_record> parse_log_line(std::string_view line);

}  // namespace baobabrack::ctl

#endif
