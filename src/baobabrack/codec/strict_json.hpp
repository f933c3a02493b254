#ifndef BAOBABRACK_CODEC_STRICT_JSON_HPP
#define BAOBABRACK_CODEC_STRICT_JSON_HPP

#include <string>
#include <string_view>
#include <vector>

namespace google::protobuf {
class Message;
}

namespace baobabrack {

/// An error in an input document.
struct document_problem {
    /// Path of the value, such as `entry.log.append_timeout_ms` or `workspaces[2].name`; empty if
    /// the error concerns the whole document.
    std::string path;
    /// What is wrong and what is expected, including the unit.
    std::string message;
    std::string remedy;

    friend bool operator==(const document_problem&, const document_problem&) = default;
};

/// @return one line per problem: "path: message (remedy)"
std::string describe(const std::vector<document_problem>& problems);

/// Parses a JSON document into a message. Unknown keys and values of the wrong type are rejected
/// and reported together.
///
/// @param text    the document
/// @param message filled only if the document has no problems
/// @return all problems; empty on success
std::vector<document_problem> parse_strict_json(std::string_view text,
                                                google::protobuf::Message& message);

/// @return the message as indented JSON that uses the field names of its .proto file
std::string print_json(const google::protobuf::Message& message);

}  // namespace baobabrack

#endif
