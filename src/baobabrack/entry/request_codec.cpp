#include "baobabrack/entry/request_codec.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "baobabrack/entry/problem.hpp"

namespace baobabrack {

namespace {

constexpr std::uint32_t max_members = 4096;
constexpr std::size_t max_id_length = 100;

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

/// @return whether the header is dropped in both directions, because it applies to a single
///         connection or is interpreted by the entry itself
bool is_not_forwarded(std::string_view name) {
    constexpr std::array<std::string_view, 15> names{"Connection",
                                                     "Keep-Alive",
                                                     "Transfer-Encoding",
                                                     "Content-Length",
                                                     "Host",
                                                     "Upgrade",
                                                     "TE",
                                                     "Trailer",
                                                     "Authorization",
                                                     "Idempotency-Key",
                                                     "X-Deadline-Ms",
                                                     "X-Attempt",
                                                     "X-Caller-Region",
                                                     "X-Request-Id",
                                                     "Proxy-Authorization"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view dropped) {
        return equal_ignoring_case(dropped, name);
    });
}

/// @return the headers that are copied between the caller's and the target's messages
std::vector<http_header> forwarded_headers(const std::vector<http_header>& headers) {
    std::vector<http_header> out;
    for (const auto& header : headers) {
        if (!is_not_forwarded(header.name)) {
            out.push_back(header);
        }
    }
    return out;
}

void check_shape(std::vector<document_problem>& problems, const wire::Shape& shape) {
    if (shape.members() == 0 || shape.members() > max_members) {
        problems.push_back({"shape.members", "expected 1 to " + std::to_string(max_members),
                            "set how many tasks run together"});
    }
    if (shape.adjacency() == wire::ADJACENCY_UNSPECIFIED) {
        problems.push_back({"shape.adjacency",
                            "is missing; expected ADJACENCY_WORKER, ADJACENCY_RACK, "
                            "ADJACENCY_DATA_CENTRE or ADJACENCY_REGION",
                            "say how near to each other the members must stand"});
    }
    const auto& part = shape.per_member();
    if (part.cpu_millicores() == 0 && part.accelerators() == 0) {
        problems.push_back({"shape.per_member", "asks for neither processors nor accelerators",
                            "set cpu_millicores or accelerators"});
    }
}

}  // namespace

caller_request to_caller_request(const http_request& request) {
    caller_request out{.workspace = request.segments[2],
                       .request_class = request.segments[4],
                       .headers = forwarded_headers(request.headers),
                       .body = request.body};
    if (const auto key = request.header("Idempotency-Key"); !key.empty()) {
        out.key = idempotency_key{std::string(key)};
    }
    out.attempt = static_cast<std::uint32_t>(parse_number(request.header("X-Attempt"), 0));
    out.deadline = std::chrono::milliseconds{parse_number(request.header("X-Deadline-Ms"), 0)};
    out.caller_region = region_id{std::string(request.header("X-Caller-Region"))};
    return out;
}

http_response to_response(caller_answer answer) {
    if (const auto* refused = std::get_if<refusal>(&answer)) {
        return problem_response(*refused);
    }
    auto& answered = std::get<whole_answer>(answer);
    http_response response{.status = answered.status,
                           .headers = forwarded_headers(answered.headers),
                           .body = std::move(answered.body)};
    response.headers.push_back({"X-Ran", "yes"});
    return response;
}

ticket_reading read_ticket(const http_request& request) {
    auto reading = read_ticket(std::string_view{request.body});
    const auto number = parse_number(request.segments[2], 0);
    if (reading.problems.empty() && reading.ticket.number() != number) {
        reading.problems.push_back(
            {"number", "is not the number in the path, " + request.segments[2],
             "send the ticket to /v1/tickets/" + std::to_string(reading.ticket.number())});
    }
    return reading;
}

std::vector<document_problem> check_job(const wire::JobSpec& spec) {
    std::vector<document_problem> problems;
    if (spec.id().empty() || spec.id().size() > max_id_length ||
        spec.id().find('/') != std::string::npos) {
        problems.push_back({"id", "expected 1 to 100 characters without a slash",
                            "choose an id that is unique for ever"});
    }
    check_shape(problems, spec.shape());
    return problems;
}

}  // namespace baobabrack
