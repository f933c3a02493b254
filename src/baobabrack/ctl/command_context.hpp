#ifndef BAOBABRACK_CTL_COMMAND_CONTEXT_HPP
#define BAOBABRACK_CTL_COMMAND_CONTEXT_HPP

#include <google/protobuf/util/json_util.h>

#include <functional>
#include <iosfwd>
#include <string>

#include "baobabrack/ctl/api_client.hpp"
#include "baobabrack/ctl/exit_code.hpp"

namespace baobabrack::ctl {

/// The API client, output format and output streams that every command uses.
class command_context {
public:
    /// @param json whether response bodies are printed unchanged instead of as tables
    command_context(api_client& client, bool json, std::ostream& out, std::ostream& error)
        : client_(client), json_(json), out_(out), error_(error) {}

    api_client& client() { return client_; }
    bool json() const { return json_; }
    std::ostream& out() { return out_; }
    std::ostream& error() { return error_; }

    /// Writes an error message for an unsuccessful call.
    ///
    /// @param recovery_hint how to find out whether a request without a response took effect
    /// @return the exit code for the outcome
    exit_code report_failure(const api_outcome& outcome, const std::string& recovery_hint);

    /// Prints the response in the selected output format, or reports why the call failed.
    ///
    /// @param recovery_hint how to find out whether a request without a response took effect
    /// @param write_text    prints the message as text
    template <typename Message>
    exit_code print_response(const api_outcome& outcome, const std::string& recovery_hint,
                             const std::function<void(const Message&)>& write_text) {
        if (!outcome.succeeded()) {
            return report_failure(outcome, recovery_hint);
        }
        Message message;
        if (!parse_body(outcome.response, message)) {
            return report_unreadable_response();
        }
        if (json_) {
            print_body(outcome.response.body);
        } else {
            write_text(message);
        }
        return exit_code::ok;
    }

    /// @return whether the body is JSON of the message; unknown fields of newer versions are
    /// ignored
    template <typename Message>
    static bool parse_body(const http_response& response, Message& message) {
        google::protobuf::util::JsonParseOptions options;
        options.ignore_unknown_fields = true;
        return google::protobuf::util::JsonStringToMessage(response.body, &message, options).ok();
    }

    /// Reports that a response cannot be parsed.
    ///
    /// @return `unknown`, since the request may have taken effect
    exit_code report_unreadable_response();

    /// Prints a response body unchanged and ends it with a line break.
    void print_body(const std::string& body);

private:
    api_client& client_;
    bool json_;
    std::ostream& out_;
    std::ostream& error_;
};

/// Reads a file into a string; "-" reads standard input.
///
/// @return `not_found` if it cannot be read
result<std::string> read_file(const std::string& path);

}  // namespace baobabrack::ctl

#endif
