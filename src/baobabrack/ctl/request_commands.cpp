#include "baobabrack/ctl/request_commands.hpp"

#include <CLI/CLI.hpp>
#include <chrono>
#include <ostream>
#include <random>

#include "baobabrack/ctl/command_context.hpp"

namespace baobabrack::ctl {

namespace {

// Added to the deadline of the request, so that a response sent at the deadline still arrives.
constexpr duration response_grace = std::chrono::seconds{2};

// Returns a random key that starts with its creation time, in milliseconds since the Unix epoch.
std::string make_idempotency_key() {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::random_device random;
    return std::to_string(now.count()) + "-" + std::to_string(random()) + std::to_string(random());
}

result<http_header> parse_header(const std::string& text) {
    const auto colon = text.find(':');
    if (colon == std::string::npos || colon == 0) {
        return failure{failure_kind::invalid, "\"" + text + "\" is not a header",
                       "use the form \"Name: value\""};
    }
    const auto value_start = text.find_first_not_of(' ', colon + 1);
    return http_header{.name = text.substr(0, colon),
                       .value = value_start == std::string::npos ? "" : text.substr(value_start)};
}

}  // namespace

void request_commands::add_to(CLI::App& app) {
    auto* group = app.add_subcommand("request", "Send requests to the targets of a workspace");
    group->require_subcommand(1);
    auto* send = group->add_subcommand("send", "Send a request and print the response");
    send->add_option("WORKSPACE", workspace_, "Id or name of the workspace")->required();
    send->add_option("CLASS", class_, "Request class")->required();
    auto* body = send->add_option("--body", body_, "Body of the request");
    send->add_option("--file", file_, "File with the body; - is standard input")->excludes(body);
    auto* key = send->add_option("--key", key_, "Idempotency key: MILLISECONDS-ANYTHING");
    send->add_flag("--new-key", new_key_, "Generate an idempotency key")->excludes(key);
    send->add_option("--deadline-ms", deadline_ms_, "Deadline of the response, in milliseconds")
        ->capture_default_str()
        ->check(CLI::PositiveNumber);
    send->add_option("--region", region_, "Region that the request comes from");
    send->add_option("--header", headers_, "Header \"Name: value\" (repeatable)");
    commands_ = {{send, [this](command_context& context) { return this->send(context); }}};
}

bool request_commands::run(command_context& context, exit_code& code) {
    return run_parsed_command(commands_, context, code);
}

exit_code request_commands::send(command_context& context) const {
    api_request request;
    request.method = "POST";
    request.path =
        "/v1/workspaces/" + percent_encode(workspace_) + "/requests/" + percent_encode(class_);
    request.body = body_;
    if (!file_.empty()) {
        const auto read = read_file(file_);
        if (!read) {
            context.error() << read.error() << "\n";
            return exit_code::usage;
        }
        request.body = read.value();
    }
    for (const auto& text : headers_) {
        const auto header = parse_header(text);
        if (!header) {
            context.error() << header.error() << "\n";
            return exit_code::usage;
        }
        request.headers.push_back(header.value());
    }
    const auto key = new_key_ ? make_idempotency_key() : key_;
    if (!key.empty()) {
        request.headers.push_back({"Idempotency-Key", key});
    }
    if (!region_.empty()) {
        request.headers.push_back({"X-Caller-Region", region_});
    }
    request.headers.push_back({"X-Deadline-Ms", std::to_string(deadline_ms_)});
    request.deadline = std::chrono::milliseconds{deadline_ms_} + response_grace;
    // Retrying is safe: a request with a key runs at most once, and a request without a key is
    // accepted only for idempotent classes.
    const auto outcome = context.client().call(request);
    if (!outcome.succeeded()) {
        return context.report_failure(outcome, key.empty()
                                                   ? "send the request again"
                                                   : "send the request again with --key " + key);
    }
    context.print_body(outcome.response.body);
    return exit_code::ok;
}

}  // namespace baobabrack::ctl
