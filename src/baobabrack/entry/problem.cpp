#include "baobabrack/entry/problem.hpp"

#include <algorithm>
#include <chrono>

#include "baobabrack/api.pb.h"

namespace baobabrack {

namespace {

wire::Problem make_problem(int status, std::string_view reason, ran_state ran) {
    wire::Problem problem;
    problem.set_type("about:blank");
    problem.set_status(static_cast<std::uint32_t>(status));
    problem.set_reason(std::string(reason));
    problem.set_ran(std::string(to_string(ran)));
    return problem;
}

http_response to_response(const wire::Problem& problem) {
    return {.status = static_cast<int>(problem.status()),
            .headers = {{"Content-Type", "application/problem+json"}},
            .body = print_json(problem)};
}

}  // namespace

http_response json_response(int status, const google::protobuf::Message& body) {
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = print_json(body)};
}

int status_of(failure_kind kind) {
    switch (kind) {
        case failure_kind::invalid:
            return 422;
        case failure_kind::not_found:
            return 404;
        case failure_kind::conflict:
            return 409;
        case failure_kind::unavailable:
            return 503;
        case failure_kind::timed_out:
            return 504;
        case failure_kind::exhausted:
            return 429;
        case failure_kind::fenced:
            return 409;
        case failure_kind::expired:
            return 410;
        case failure_kind::forbidden:
            return 401;
    }
    return 500;
}

int status_of(refusal_reason reason) {
    switch (reason) {
        case refusal_reason::unknown_workspace:
        case refusal_reason::unknown_class:
            return 404;
        case refusal_reason::key_missing:
        case refusal_reason::key_malformed:
        case refusal_reason::key_too_old:
        case refusal_reason::key_in_future:
            return 400;
        case refusal_reason::key_reused:
        case refusal_reason::key_settled:
        case refusal_reason::claim_elsewhere:
            return 409;
        case refusal_reason::claims_exhausted:
        case refusal_reason::queue_full:
        case refusal_reason::shed:
        case refusal_reason::region_budget:
            return 429;
        case refusal_reason::deadline:
            return 504;
        case refusal_reason::answer_lost:
        case refusal_reason::target_failed:
            return 502;
        case refusal_reason::draining:
        case refusal_reason::claim_unavailable:
        case refusal_reason::no_target:
        case refusal_reason::no_share:
        case refusal_reason::retries_spent:
            return 503;
    }
    return 500;
}

http_response problem_response(const failure& error, ran_state ran) {
    auto problem = make_problem(status_of(error.kind), to_string(error.kind), ran);
    problem.set_title(error.message);
    problem.set_remedy(error.remedy);
    return to_response(problem);
}

http_response problem_response(const failure& error, const std::vector<document_problem>& errors) {
    auto problem = make_problem(status_of(error.kind), to_string(error.kind), ran_state::no);
    problem.set_title(error.message);
    problem.set_remedy(error.remedy);
    for (const auto& document_error : errors) {
        auto& added = *problem.add_errors();
        added.set_path(document_error.path);
        added.set_problem(document_error.message);
        added.set_remedy(document_error.remedy);
    }
    return to_response(problem);
}

http_response problem_response(const refusal& refused) {
    auto problem = make_problem(status_of(refused.reason), to_string(refused.reason), refused.ran);
    problem.set_title("the request was refused: " + std::string(to_string(refused.reason)));
    problem.set_remedy(refused.remedy);
    auto response = to_response(problem);
    if (refused.retry_after > duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refused.retry_after).count();
        response.headers.push_back(
            {"Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1))});
    }
    return response;
}

}  // namespace baobabrack
