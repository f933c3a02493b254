#include "baobabrack/ctl/command_context.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include "baobabrack/ctl/problem_text.hpp"

namespace baobabrack::ctl {

exit_code command_context::explain(const api_answer& answer, const std::string& check) {
    for (const auto& trouble : answer.troubles) {
        error_ << "  tried " << trouble << "\n";
    }
    if (answer.answered()) {
        const auto problem = read_problem(answer.response);
        if (json_) {
            print_body(answer.response.body);
        }
        error_ << "refused: " << describe(problem);
        return problem.ran() == "unknown" ? exit_code::unknown : exit_code::refused;
    }
    if (answer.end == http_completion::not_sent) {
        error_ << "no entry can be reached; nothing was done\n"
                  "  remedy: check the addresses after --entry, and that an entry is running\n";
        return exit_code::unreachable;
    }
    error_ << "the entry's answer was lost; it may have been done\n  remedy: " << check << "\n";
    return exit_code::unknown;
}

exit_code command_context::garbled() {
    error_ << "the answer cannot be understood\n"
              "  remedy: use a baobabrackctl of the entry's version\n";
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
