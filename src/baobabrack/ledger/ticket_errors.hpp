#ifndef BAOBABRACK_LEDGER_TICKET_ERRORS_HPP
#define BAOBABRACK_LEDGER_TICKET_ERRORS_HPP

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "baobabrack/codec/strict_json.hpp"

namespace baobabrack {

/// Collects every error of a ticket while its fields are walked through.
class ticket_errors {
public:
    void add(std::string path, std::string message, std::string remedy) {
        errors_.push_back({std::move(path), std::move(message), std::move(remedy)});
    }

    /// Checks that a number lies in a range.
    ///
    /// @param unit of the number, such as "ms"; empty for a count
    void check_range(const std::string& path, std::uint64_t value, std::uint64_t least,
                     std::uint64_t most, const std::string& unit);

    /// Checks an id: 1 to 63 letters, digits, '-', '_' or '.', a letter or digit first.
    void check_id(const std::string& path, const std::string& value);

    /// Checks a name for people: 1 to 100 bytes without control characters.
    void check_name(const std::string& path, const std::string& value);

    /// Checks a share or a cost: finite and not negative.
    void check_amount(const std::string& path, double value, const std::string& unit);

    std::vector<document_problem> take() { return std::move(errors_); }

private:
    std::vector<document_problem> errors_;
};

/// @return the path of a list's element
std::string element_path(const std::string& list, int index);

}  // namespace baobabrack

#endif
