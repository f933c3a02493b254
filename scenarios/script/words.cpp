#include "script/words.hpp"

#include <algorithm>
#include <cctype>

namespace baobabrack::scenario {

namespace {

std::uint64_t parse_number(const std::string& text, const std::string& what) {
    if (text.empty() || !std::all_of(text.begin(), text.end(),
                                     [](unsigned char c) { return std::isdigit(c) != 0; })) {
        throw script_error("expected " + what + ", a whole number, got \"" + text + "\"");
    }
    return std::stoull(text);
}

}  // namespace

duration parse_duration(const std::string& text) {
    const auto unit_at = text.find_first_not_of("0123456789");
    const auto unit = unit_at == std::string::npos ? "" : text.substr(unit_at);
    const auto count =
        static_cast<std::int64_t>(parse_number(text.substr(0, unit_at), "a duration"));
    if (unit == "ms") {
        return std::chrono::milliseconds{count};
    }
    if (unit == "s") {
        return std::chrono::seconds{count};
    }
    if (unit == "m") {
        return std::chrono::minutes{count};
    }
    throw script_error("expected a duration such as 500ms, 8s or 10m, got \"" + text + "\"");
}

std::string words::take(const std::string& what) {
    if (empty()) {
        throw script_error("expected " + what + " at the end of the command");
    }
    return all_[next_++];
}

bool words::take_if(const std::string& word) {
    if (empty() || all_[next_] != word) {
        return false;
    }
    ++next_;
    return true;
}

duration words::take_duration() {
    return parse_duration(take("a duration"));
}

std::uint32_t words::take_number(const std::string& what) {
    return static_cast<std::uint32_t>(parse_number(take(what), what));
}

std::string words::option(const std::string& name, const std::string& otherwise) {
    const auto begin = all_.begin() + static_cast<std::ptrdiff_t>(next_);
    const auto found = std::find(begin, all_.end(), name);
    if (found == all_.end()) {
        return otherwise;
    }
    if (found + 1 == all_.end()) {
        throw script_error("expected a value after " + name);
    }
    auto value = *(found + 1);
    all_.erase(found, found + 2);
    return value;
}

std::uint32_t words::option(const std::string& name, std::uint32_t otherwise) {
    const auto text = option(name, std::to_string(otherwise));
    return static_cast<std::uint32_t>(parse_number(text, name));
}

duration words::option(const std::string& name, duration otherwise) {
    const auto text = option(name, std::string{});
    return text.empty() ? otherwise : parse_duration(text);
}

bool words::flag(const std::string& name) {
    const auto begin = all_.begin() + static_cast<std::ptrdiff_t>(next_);
    const auto found = std::find(begin, all_.end(), name);
    if (found == all_.end()) {
        return false;
    }
    all_.erase(found);
    return true;
}

void words::end() const {
    if (!empty()) {
        throw script_error("\"" + all_[next_] + "\" is not understood here");
    }
}

}  // namespace baobabrack::scenario
