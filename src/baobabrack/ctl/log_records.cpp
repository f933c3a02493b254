#include "baobabrack/ctl/log_records.hpp"

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace baobabrack::ctl {

namespace {

constexpr std::size_t fraction_digits = 6;

// Parses digits that fill the whole text.
std::optional<std::int64_t> parse_number(std::string_view text) {
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{value} : std::nullopt;
}

std::string take(nlohmann::json& record, const char* name) {
    const auto found = record.find(name);
    std::string text =
        found != record.end() && found->is_string() ? found->get<std::string>() : std::string{};
    record.erase(name);
    return text;
}

}  // namespace

const std::string& log_record::text(std::string_view name) const {
    static const std::string none;
    const auto found = fields.find(name);
    return found == fields.end() ? none : found->second;
}

std::optional<std::int64_t> log_record::number(std::string_view name) const {
    return parse_number(text(name));
}

std::optional<double> log_record::decimal(std::string_view name) const {
    const auto& value = text(name);
    char* end = nullptr;
    const auto parsed = std::strtod(value.c_str(), &end);
    const bool whole = !value.empty() && end == value.c_str() + value.size();
    return whole && std::isfinite(parsed) ? std::optional{parsed} : std::nullopt;
}

std::optional<log_time> parse_log_time(std::string_view text) {
    constexpr std::string_view pattern = "0000-00-00T00:00:00";
    if (text.size() <= pattern.size() || text.back() != 'Z') {
        return std::nullopt;
    }
    for (std::size_t at = 0; at < pattern.size(); ++at) {
        const bool is_digit = text[at] >= '0' && text[at] <= '9';
        if (pattern[at] == '0' ? !is_digit : text[at] != pattern[at]) {
            return std::nullopt;
        }
    }
    const auto part = [&](std::size_t at, std::size_t size) {
        return static_cast<int>(parse_number(text.substr(at, size)).value_or(0));
    };
    const std::chrono::year_month_day date{std::chrono::year{part(0, 4)},
                                           std::chrono::month{static_cast<unsigned>(part(5, 2))},
                                           std::chrono::day{static_cast<unsigned>(part(8, 2))}};
    if (!date.ok()) {
        return std::nullopt;
    }
    std::int64_t fraction = 0;
    auto rest = text.substr(pattern.size(), text.size() - pattern.size() - 1);
    if (!rest.empty()) {
        std::string digits{rest.substr(1, fraction_digits)};
        digits.resize(fraction_digits, '0');
        const auto parsed = parse_number(digits);
        if (rest.front() != '.' || !parsed || *parsed < 0) {
            return std::nullopt;
        }
        fraction = *parsed;
    }
    return std::chrono::sys_days{date} + std::chrono::hours{part(11, 2)} +
           std::chrono::minutes{part(14, 2)} + std::chrono::seconds{part(17, 2)} +
           std::chrono::microseconds{fraction};
}

std::optional<log_record> parse_log_line(std::string_view line) {
    const auto begin = line.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    auto object = nlohmann::json::parse(line.substr(begin), nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto time = parse_log_time(take(object, "time"));
    log_record record{.role = take(object, "role"),
                      .process = take(object, "id"),
                      .event = take(object, "event"),
                      .fields = {}};
    if (!time || record.event.empty()) {
        return std::nullopt;
    }
    record.time = *time;
    for (const auto& [name, value] : object.items()) {
        record.fields.emplace(name, value.is_string() ? value.get<std::string>() : value.dump());
    }
    return record;
}

}  // namespace baobabrack::ctl
