#include "baobabrack/ledger/ticket_errors.hpp"

#include <algorithm>
#include <cmath>

namespace baobabrack {

namespace {

constexpr std::size_t max_id_bytes = 63;
constexpr std::size_t max_name_bytes = 100;

bool is_alphanumeric(char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9');
}

bool is_id(const std::string& value) {
    return !value.empty() && value.size() <= max_id_bytes && is_alphanumeric(value.front()) &&
           std::all_of(value.begin(), value.end(), [](char letter) {
               return is_alphanumeric(letter) || letter == '-' || letter == '_' || letter == '.';
           });
}

bool is_control(char letter) {
    const auto code = static_cast<unsigned char>(letter);
    return code < 0x20 || code == 0x7f;
}

}  // namespace

void ticket_errors::check_range(const std::string& path, std::uint64_t value, std::uint64_t least,
                                std::uint64_t most, const std::string& unit) {
    if (value >= least && value <= most) {
        return;
    }
    const auto suffix = unit.empty() ? "" : " " + unit;
    add(path,
        "is " + std::to_string(value) + suffix + "; expected " + std::to_string(least) + " to " +
            std::to_string(most) + suffix,
        value < least ? "raise it to at least " + std::to_string(least) + suffix
                      : "lower it to at most " + std::to_string(most) + suffix);
}

void ticket_errors::check_id(const std::string& path, const std::string& value) {
    if (!is_id(value)) {
        add(path,
            "is \"" + value.substr(0, max_name_bytes) +
                "\"; expected 1 to 63 letters, digits, '-', '_' or '.', a letter or digit first",
            "choose an id of that form; the name for people goes into \"name\"");
    }
}

void ticket_errors::check_name(const std::string& path, const std::string& value) {
    if (value.empty() || value.size() > max_name_bytes) {
        add(path,
            "has " + std::to_string(value.size()) + " bytes; expected 1 to " +
                std::to_string(max_name_bytes),
            value.empty() ? "give it a name" : "shorten the name");
        return;
    }
    if (std::any_of(value.begin(), value.end(), is_control)) {
        add(path, "has control characters; expected printable text", "remove them");
    }
}

void ticket_errors::check_amount(const std::string& path, double value, const std::string& unit) {
    if (!std::isfinite(value) || value < 0) {
        add(path, "is not a finite amount of 0 " + unit + " or more",
            "set a number of 0 or higher, in " + unit);
    }
}

std::string element_path(const std::string& list, int index) {
    return list + "[" + std::to_string(index) + "]";
}

}  // namespace baobabrack
