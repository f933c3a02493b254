#include "baobabrack/ctl/command_context.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include "baobabrack/ctl/problem_text.hpp"

namespace baobabrack::ctl {

exit_code command_context::report_failure(const api_outcome& outcome,
                                          const std::string& recovery_hint) {
    for (const auto& entry_failure : outcome.failures) {
        error_ << "  tried " << entry_failure << "\n";
    }
    if (outcome.has_response()) {
        const auto problem = parse_problem(outcome.response);
        if (json_) {
            print_body(outcome.response.body);
        }
        error_ << "refused: " << describe(problem);
        return problem.ran() == "unknown" ? exit_code::unknown : exit_code::refused;
    }
    if (outcome.end == http_completion::not_sent) {
        error_
            << "no entry can be reached; nothing was done\n"
               "  remedy: check the addresses given with --entry, and that an entry is running\n";
        return exit_code::unreachable;
    }
    error_ << "no complete response from the entry; the request may have taken effect\n  remedy: "
           << recovery_hint << "\n";
    return exit_code::unknown;
}

exit_code command_context::report_unreadable_response() {
    error_ << "the response of the entry cannot be parsed\n"
              "  remedy: use a baobabrackctl of the same version as the entry\n";
    return exit_code::unknown;
}

void command_context::print_body(const std::string& body) {
    out_ << body;
    if (!body.empty() && body.back() != '\n') {
        out_ << "\n";
    }
}

result<std::string> read_file(const std::string& path) {
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file{path};
    if (!file) {
        return failure{failure_kind::not_found, "\"" + path + "\" cannot be read",
                       "give the path of a file, or - for standard input"};
    }
    text << file.rdbuf();
    return text.str();
}

}  // namespace baobabrack::ctl
