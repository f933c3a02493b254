#include "baobabrack/observe/json_log.hpp"

#include <glog/logging.h>

#include <array>
#include <cstdio>
#include <iomanip>
#include <sstream>

namespace baobabrack {

namespace {

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char first_non_ascii = 0x80;

std::string_view level_name(google::LogSeverity severity) {
    switch (severity) {
        case google::GLOG_INFO:
            return "info";
        case google::GLOG_WARNING:
            return "warning";
        default:
            return "error";
    }
}

google::LogSeverity to_severity(log_level level) {
    switch (level) {
        case log_level::info:
            return google::GLOG_INFO;
        case log_level::warning:
            return google::GLOG_WARNING;
        case log_level::error:
            return google::GLOG_ERROR;
    }
    return google::GLOG_INFO;
}

std::size_t utf8_sequence_length(unsigned char lead_byte) {
    if (lead_byte < first_non_ascii) {
        return 1;
    }
    if ((lead_byte & 0xE0U) == 0xC0U) {
        return 2;
    }
    if ((lead_byte & 0xF0U) == 0xE0U) {
        return 3;
    }
    return (lead_byte & 0xF8U) == 0xF0U ? 4 : 0;
}

bool is_utf8_sequence(std::string_view text, std::size_t offset, std::size_t length) {
    if (length == 0 || offset + length > text.size()) {
        return false;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((static_cast<unsigned char>(text[offset + i]) & 0xC0U) != 0x80U) {
            return false;
        }
    }
    return true;
}

void append_escaped(std::string& out, unsigned char byte) {
    switch (byte) {
        case '"':
            out += "\\\"";
            return;
        case '\\':
            out += "\\\\";
            return;
        case '\n':
            out += "\\n";
            return;
        case '\t':
            out += "\\t";
            return;
        default:
            break;
    }
    if (byte >= first_printable) {
        out += static_cast<char>(byte);
        return;
    }
    std::array<char, 8> escape{};
    std::snprintf(escape.data(), escape.size(), "\\u%04x", byte);
    out += escape.data();
}

std::string format_timestamp(const google::LogMessageTime& time) {
    std::array<char, 32> text{};
    const auto seconds = time.timestamp();
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::ostringstream out;
    out << text.data() << '.' << std::setw(6) << std::setfill('0') << time.usec() << 'Z';
    return out.str();
}

}  // namespace

std::string json_quote(std::string_view text) {
    std::string out = "\"";
    for (std::size_t offset = 0; offset < text.size();) {
        const auto byte = static_cast<unsigned char>(text[offset]);
        const auto length = utf8_sequence_length(byte);
        if (length == 1) {
            append_escaped(out, byte);
            ++offset;
        } else if (is_utf8_sequence(text, offset, length)) {
            out.append(text.substr(offset, length));
            offset += length;
        } else {
            out += "\\ufffd";
            ++offset;
        }
    }
    out += '"';
    return out;
}

log_event::log_event(log_level level, std::string_view event)
    : level_(level), json_("{\"event\":" + json_quote(event)) {
}

log_event::~log_event() {
    json_ += '}';
    google::LogMessage(__FILE__, __LINE__, to_severity(level_)).stream() << json_;
}

log_event& log_event::field(std::string_view key, std::string_view value) {
    json_ += "," + json_quote(key) + ":" + json_quote(value);
    return *this;
}

log_event& log_event::field(std::string_view key, const char* value) {
    return field(key, std::string_view{value});
}

log_event& log_event::field(std::string_view key, std::int64_t value) {
    json_ += "," + json_quote(key) + ":" + std::to_string(value);
    return *this;
}

log_event& log_event::field(std::string_view key, std::uint64_t value) {
    json_ += "," + json_quote(key) + ":" + std::to_string(value);
    return *this;
}

log_event& log_event::field(std::string_view key, int value) {
    return field(key, static_cast<std::int64_t>(value));
}

log_event& log_event::field(std::string_view key, unsigned value) {
    return field(key, static_cast<std::uint64_t>(value));
}

log_event& log_event::field(std::string_view key, double value) {
    std::ostringstream out;
    out << value;
    json_ += "," + json_quote(key) + ":" + out.str();
    return *this;
}

log_event& log_event::field(std::string_view key, bool value) {
    json_ += "," + json_quote(key) + ":" + (value ? "true" : "false");
    return *this;
}

class json_logging::sink : public google::LogSink {
public:
    explicit sink(const options& opts)
        : suffix_(",\"role\":" + json_quote(opts.role) + ",\"id\":" + json_quote(opts.id)) {}

    void send(google::LogSeverity severity, const char* /*full_name*/, const char* /*base_name*/,
              int /*line*/, const google::LogMessageTime& time, const char* message,
              std::size_t length) override {
        const std::string_view text(message, length);
        std::string line = "{\"time\":\"" + format_timestamp(time) + "\",\"level\":\"";
        line += level_name(severity);
        line += "\"" + suffix_ + ",";
        if (text.starts_with("{\"event\":")) {
            line += text.substr(1);
        } else {
            line += "\"event\":\"message\",\"message\":" + json_quote(text) + "}";
        }
        writer_.write(line, line_writer::clock::now());
    }

    const line_writer::counts& totals() const { return writer_.totals(); }

private:
    std::string suffix_;
    line_writer writer_{{}};
};

json_logging::json_logging(options opts) : sink_(std::make_unique<sink>(opts)) {
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    FLAGS_minloglevel = to_severity(opts.min_level);
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
        google::SetLogDestination(severity, "");
    }
    google::InitGoogleLogging(opts.program.c_str());
    google::AddLogSink(sink_.get());
}

const line_writer::counts& json_logging::totals() const {
    return sink_->totals();
}

json_logging::~json_logging() {
    google::RemoveLogSink(sink_.get());
    google::ShutdownGoogleLogging();
}

}  // namespace baobabrack
