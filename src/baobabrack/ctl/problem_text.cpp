#include "baobabrack/ctl/problem_text.hpp"

#include <google/protobuf/util/json_util.h>

namespace baobabrack::ctl {

wire::Problem parse_problem(const http_response& response) {
    wire::Problem problem;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const bool parsed =
        google::protobuf::util::JsonStringToMessage(response.body, &problem, options).ok();
    if (!parsed || problem.title().empty()) {
        problem.Clear();
        problem.set_title("the response has HTTP status " + std::to_string(response.status) +
                          " and no problem details");
        problem.set_ran("unknown");
        problem.set_remedy("check that --entry is the address of a baobabrack entry");
    }
    return problem;
}

std::string describe(const wire::Problem& problem) {
    std::string text = problem.title() + "\n";
    if (!problem.detail().empty()) {
        text += "  " + problem.detail() + "\n";
    }
    for (const auto& error : problem.errors()) {
        text += "  " + (error.path().empty() ? "document" : error.path()) + ": " + error.problem() +
                " (" + error.remedy() + ")\n";
    }
    if (!problem.reason().empty()) {
        text += "  reason: " + problem.reason() + "\n";
    }
    if (!problem.ran().empty()) {
        text += "  ran: " + problem.ran() + "\n";
    }
    if (!problem.remedy().empty()) {
        text += "  remedy: " + problem.remedy() + "\n";
    }
    return text;
}

}  // namespace baobabrack::ctl
