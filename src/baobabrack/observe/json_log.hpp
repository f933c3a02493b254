#ifndef BAOBABRACK_OBSERVE_JSON_LOG_HPP
#define BAOBABRACK_OBSERVE_JSON_LOG_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "baobabrack/observe/line_writer.hpp"

namespace baobabrack {

enum class log_level { info, warning, error };

/// Collects one structured log line and writes it to glog on destruction.
///
/// Example: `log_event(log_level::info, "ticket-accepted").field("ticket", 7);`
class log_event {
public:
    /// @param event constant event name in kebab case
    log_event(log_level level, std::string_view event);
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;
    ~log_event();

    log_event& field(std::string_view key, std::string_view value);
    log_event& field(std::string_view key, const char* value);
    log_event& field(std::string_view key, std::int64_t value);
    log_event& field(std::string_view key, std::uint64_t value);
    log_event& field(std::string_view key, int value);
    log_event& field(std::string_view key, unsigned value);
    log_event& field(std::string_view key, double value);
    log_event& field(std::string_view key, bool value);

private:
    log_level level_;
    std::string json_;
};

/// @return `text` as a quoted JSON string; bytes that do not form a UTF-8 sequence are replaced by
/// U+FFFD
std::string json_quote(std::string_view text);

/// Initialises glog to write JSON lines to standard output, and shuts it down on destruction.
/// Writes no log files. Lines that the reader of standard output is too slow for are dropped and
/// counted.
class json_logging {
public:
    struct options {
        std::string program;
        std::string role;
        std::string id;
        log_level min_level = log_level::info;
    };

    explicit json_logging(options opts);
    json_logging(const json_logging&) = delete;
    json_logging& operator=(const json_logging&) = delete;
    ~json_logging();

    /// @return the numbers of lines written, dropped and suppressed
    const line_writer::counts& totals() const;

private:
    class sink;
    std::unique_ptr<sink> sink_;
};

}  // namespace baobabrack

#endif
