#include "baobabrack/codec/strict_json.hpp"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace baobabrack {

namespace {

namespace pb = google::protobuf;
using problems = std::vector<document_problem>;

// Limits the recursion of the check; deeper documents are rejected.
constexpr int max_nesting = 32;

std::string unit_suffix(const std::string& key) {
    if (key.ends_with("_ms")) {
        return " in milliseconds";
    }
    if (key.ends_with("_us")) {
        return " in microseconds";
    }
    if (key.ends_with("_bytes") || key.find("_bytes_") != std::string::npos) {
        return " in bytes";
    }
    if (key.ends_with("_mib")) {
        return " in MiB";
    }
    if (key.ends_with("_millicores")) {
        return " in thousandths of a core";
    }
    return "";
}

std::string known_keys(const pb::Descriptor& type) {
    std::string out;
    for (int i = 0; i < type.field_count(); ++i) {
        out += (i == 0 ? "" : ", ") + type.field(i)->name();
    }
    return out;
}

std::string enum_names(const pb::EnumDescriptor& type) {
    std::string out;
    for (int i = 1; i < type.value_count(); ++i) {
        out += (i == 1 ? "" : ", ") + type.value(i)->name();
    }
    return out;
}

const pb::FieldDescriptor* find_field(const pb::Descriptor& type, const std::string& key) {
    if (const auto* field = type.FindFieldByName(key)) {
        return field;
    }
    return type.FindFieldByCamelcaseName(key);
}

void add_type_problem(problems& found, const std::string& path, const std::string& what) {
    found.push_back({path, "expected " + what, "correct the value or leave the key out"});
}

bool is_integer_in_range(double number, double min, double max) {
    return std::floor(number) == number && number >= min && number <= max;
}

/// JSON numbers are doubles, so 64-bit integers may also be written as strings of digits.
bool is_digits(const pb::Value& value) {
    if (value.kind_case() != pb::Value::kStringValue || value.string_value().empty()) {
        return false;
    }
    return value.string_value().find_first_not_of("0123456789") == std::string::npos;
}

void check_integer(problems& found, const std::string& path, const pb::FieldDescriptor& field,
                   const pb::Value& value) {
    const bool is_64_bit = field.cpp_type() == pb::FieldDescriptor::CPPTYPE_UINT64 ||
                           field.cpp_type() == pb::FieldDescriptor::CPPTYPE_INT64;
    if (is_64_bit && is_digits(value)) {
        return;
    }
    constexpr double max_exact_integer = 9007199254740992.0;
    const double max = is_64_bit ? max_exact_integer : std::numeric_limits<std::uint32_t>::max();
    if (value.kind_case() != pb::Value::kNumberValue ||
        !is_integer_in_range(value.number_value(), 0, max)) {
        add_type_problem(found, path, "a whole number of 0 or more" + unit_suffix(field.name()));
    }
}

void check_enum(problems& found, const std::string& path, const pb::FieldDescriptor& field,
                const pb::Value& value) {
    const auto& type = *field.enum_type();
    if (value.kind_case() != pb::Value::kStringValue ||
        type.FindValueByName(value.string_value()) == nullptr) {
        add_type_problem(found, path, "one of " + enum_names(type));
    }
}

void check_object(problems& found, const std::string& path, const pb::Descriptor& type,
                  const pb::Struct& object, int depth);

void check_single(problems& found, const std::string& path, const pb::FieldDescriptor& field,
                  const pb::Value& value, int depth) {
    switch (field.cpp_type()) {
        case pb::FieldDescriptor::CPPTYPE_MESSAGE:
            if (value.kind_case() != pb::Value::kStructValue) {
                add_type_problem(found, path,
                                 "an object with " + known_keys(*field.message_type()));
                return;
            }
            check_object(found, path, *field.message_type(), value.struct_value(), depth + 1);
            return;
        case pb::FieldDescriptor::CPPTYPE_STRING:
            if (value.kind_case() != pb::Value::kStringValue) {
                add_type_problem(found, path, "a string");
            }
            return;
        case pb::FieldDescriptor::CPPTYPE_BOOL:
            if (value.kind_case() != pb::Value::kBoolValue) {
                add_type_problem(found, path, "true or false");
            }
            return;
        case pb::FieldDescriptor::CPPTYPE_DOUBLE:
        case pb::FieldDescriptor::CPPTYPE_FLOAT:
            if (value.kind_case() != pb::Value::kNumberValue) {
                add_type_problem(found, path, "a number" + unit_suffix(field.name()));
            }
            return;
        case pb::FieldDescriptor::CPPTYPE_ENUM:
            check_enum(found, path, field, value);
            return;
        default:
            check_integer(found, path, field, value);
    }
}

void check_field(problems& found, const std::string& path, const pb::FieldDescriptor& field,
                 const pb::Value& value, int depth) {
    if (!field.is_repeated()) {
        check_single(found, path, field, value, depth);
        return;
    }
    if (value.kind_case() != pb::Value::kListValue) {
        add_type_problem(found, path, "a list");
        return;
    }
    int index = 0;
    for (const auto& item : value.list_value().values()) {
        check_single(found, path + "[" + std::to_string(index++) + "]", field, item, depth);
    }
}

void check_object(problems& found, const std::string& path, const pb::Descriptor& type,
                  const pb::Struct& object, int depth) {
    if (depth > max_nesting) {
        found.push_back({path, "the document is nested too deeply", "flatten it"});
        return;
    }
    const std::string prefix = path.empty() ? "" : path + ".";
    for (const auto& [key, value] : object.fields()) {
        const auto* field = find_field(type, key);
        if (field == nullptr) {
            found.push_back({prefix + key, "is not a known key",
                             "remove it or use one of " + known_keys(type)});
            continue;
        }
        check_field(found, prefix + key, *field, value, depth);
    }
}

bool path_less(const document_problem& left, const document_problem& right) {
    return left.path < right.path;
}

}  // namespace

std::string describe(const std::vector<document_problem>& problems) {
    std::string out;
    for (const auto& problem : problems) {
        out += problem.path.empty() ? "" : problem.path + ": ";
        out += problem.message + " (" + problem.remedy + ")\n";
    }
    return out;
}

std::vector<document_problem> parse_strict_json(std::string_view text, pb::Message& message) {
    const std::string document(text);
    pb::Struct object;
    if (const auto syntax = pb::util::JsonStringToMessage(document, &object); !syntax.ok()) {
        return {{"", "is not a JSON object: " + std::string(syntax.message()),
                 "check quotes, commas and braces near the place named"}};
    }
    problems found;
    check_object(found, "", *message.GetDescriptor(), object, 0);
    std::sort(found.begin(), found.end(), path_less);
    if (!found.empty()) {
        return found;
    }
    message.Clear();
    if (const auto parsed = pb::util::JsonStringToMessage(document, &message); !parsed.ok()) {
        message.Clear();
        return {{"", std::string(parsed.message()), "correct the value named"}};
    }
    return {};
}

std::string print_json(const pb::Message& message) {
    pb::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.preserve_proto_field_names = true;
    std::string out;
    if (!pb::util::MessageToJsonString(message, &out, options).ok()) {
        return "{}";
    }
    return out;
}

}  // namespace baobabrack
