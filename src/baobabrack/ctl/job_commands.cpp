#include "baobabrack/ctl/job_commands.hpp"

#include <CLI/CLI.hpp>
#include <ostream>

#include "baobabrack/api.pb.h"
#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/ctl/command_context.hpp"
#include "baobabrack/ctl/table.hpp"

namespace baobabrack::ctl {

namespace {

constexpr auto retry_hint = "repeat the command; it is read-only";

bool has_ended(const wire::JobView& job) {
    return job.phase() == "finished" || job.phase() == "failed" || job.phase() == "cancelled";
}

std::string format_members(const wire::JobView& job) {
    std::string text;
    for (const auto& member : job.members()) {
        text += (text.empty() ? "" : " ") + member.worker() + "x" + std::to_string(member.count());
    }
    return text.empty() ? "-" : text;
}

std::string remark_text(const wire::JobView& job) {
    if (!job.waits_for().empty()) {
        return "waits for " + job.waits_for();
    }
    return job.message();
}

void write_jobs(std::ostream& out, const std::vector<wire::JobView>& jobs) {
    table rows{{"JOB", "WORKSPACE", "PHASE", "ATTEMPT", "MEMBERS", "CHECKPOINT", "REMARK"}};
    for (const auto& job : jobs) {
        rows.add_row({job.spec().id(), job.spec().workspace(), job.phase(),
                      std::to_string(job.attempt()), format_members(job),
                      std::to_string(job.checkpoint_ms()) + " ms", remark_text(job)});
    }
    rows.write(out, "There are no jobs.");
}

std::string progress_line(const wire::JobView& job) {
    std::string line = job.spec().id() + " " + job.phase();
    if (job.attempt() > 0) {
        line += ", attempt " + std::to_string(job.attempt());
    }
    if (job.position() > 0) {
        line += ", place " + std::to_string(job.position()) + " in the queue";
    }
    if (job.members_size() > 0) {
        line += ", on " + format_members(job);
    }
    const auto remark = remark_text(job);
    return remark.empty() || remark == job.phase() ? line : line + ": " + remark;
}

std::string jobs_path(const std::string& workspace) {
    return "/v1/workspaces/" + percent_encode(workspace) + "/jobs";
}

}  // namespace

void job_commands::add_to(CLI::App& app) {
    auto* group = app.add_subcommand("job", "Manage jobs, gangs of tasks on workers");
    group->require_subcommand(1);
    add_submit(*group);
    auto* show = add_job_command(*group, "show", "Show a job");
    auto* list = group->add_subcommand("list", "List jobs");
    list->add_option("WORKSPACE", workspace_, "List only jobs of this workspace");
    auto* cancel = add_job_command(*group, "cancel", "Cancel a job");
    cancel->add_option("--reason", reason_, "Reason of the cancellation");
    auto* watch = add_job_command(*group, "watch", "Print a job's progress until it ends");
    watch->add_option("--interval-ms", interval_ms_, "Polling interval, in milliseconds")
        ->capture_default_str()
        ->check(CLI::PositiveNumber);
    commands_.push_back({show, [this](command_context& context) { return this->show(context); }});
    commands_.push_back({list, [this](command_context& context) { return this->list(context); }});
    commands_.push_back(
        {cancel, [this](command_context& context) { return this->cancel(context); }});
    commands_.push_back({watch, [this](command_context& context) { return this->watch(context); }});
}

CLI::App* job_commands::add_job_command(CLI::App& group, const char* name, const char* help) {
    auto* command = group.add_subcommand(name, help);
    command->add_option("WORKSPACE", workspace_, "Id or name of the workspace")->required();
    command->add_option("JOB", id_, "Id of the job")->required();
    return command;
}

void job_commands::add_submit(CLI::App& group) {
    auto* submit = group.add_subcommand("submit", "Submit a job from a file or from options");
    submit->add_option("WORKSPACE", workspace_, "Id or name of the workspace")->required();
    auto* file = submit->add_option("--file", file_, "JSON file of the job; - is standard input");
    submit->add_option("--id", id_, "Id of the job; an id cannot be reused")->excludes(file);
    submit->add_option("--members", members_, "Number of tasks that run together")
        ->capture_default_str();
    submit->add_option("--accelerators", accelerators_, "Accelerators per member")
        ->capture_default_str();
    submit->add_option("--cpu-millicores", cpu_millicores_, "CPU millicores per member")
        ->capture_default_str();
    submit->add_option("--memory-mib", memory_mib_, "Memory per member, in MiB")
        ->capture_default_str();
    submit->add_option("--adjacency", adjacency_, "Scope that all members are placed in")
        ->capture_default_str()
        ->check(CLI::IsMember({"worker", "rack", "data_centre", "region"}));
    submit->add_option("--run-ms", declared_run_ms_, "Estimate of the run time, in milliseconds");
    submit->add_option("--max-attempts", max_attempts_,
                       "Attempts before the job fails; 0: default");
    submit->add_option("--command", run_command_, "Command passed to the tasks");
    submit->add_flag("--urgent", urgent_, "Start before other jobs of the workspace");
    submit->add_flag("--checkpointable", checkpointable_,
                     "The job resumes from a checkpoint after a stop");
    commands_.push_back(
        {submit, [this](command_context& context) { return this->submit(context); }});
}

bool job_commands::run(command_context& context, exit_code& code) {
    return run_parsed_command(commands_, context, code);
}

std::string job_commands::job_path() const {
    return jobs_path(workspace_) + "/" + percent_encode(id_);
}

result<std::string> job_commands::read_spec() const {
    if (!file_.empty()) {
        return read_file(file_);
    }
    if (id_.empty()) {
        return failure{failure_kind::invalid, "the job has no id", "give --id or --file"};
    }
    auto adjacency = wire::ADJACENCY_RACK;
    auto name = "ADJACENCY_" + adjacency_;
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
        return static_cast<char>(std::toupper(character));
    });
    wire::Adjacency_Parse(name, &adjacency);
    wire::JobSpec spec;
    spec.set_id(id_);
    spec.mutable_shape()->set_members(members_);
    spec.mutable_shape()->set_adjacency(adjacency);
    auto& resources = *spec.mutable_shape()->mutable_per_member();
    resources.set_accelerators(accelerators_);
    resources.set_cpu_millicores(cpu_millicores_);
    resources.set_memory_mib(memory_mib_);
    spec.set_declared_run_ms(declared_run_ms_);
    spec.set_max_attempts(max_attempts_);
    spec.set_command(run_command_);
    spec.set_urgent(urgent_);
    spec.set_checkpointable(checkpointable_);
    return print_json(spec);
}

exit_code job_commands::submit(command_context& context) const {
    const auto spec = read_spec();
    if (!spec) {
        context.error() << spec.error() << "\n";
        return exit_code::usage;
    }
    api_request request;
    request.method = "POST";
    request.path = jobs_path(workspace_);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = spec.value();
    request.retryable = false;
    return context.print_response<wire::JobView>(
        context.client().call(request),
        "check whether the job was accepted with: baobabrackctl job list " + workspace_,
        [&](const wire::JobView& job) { write_jobs(context.out(), {job}); });
}

exit_code job_commands::show(command_context& context) const {
    const auto outcome = context.client().call({.method = "GET", .path = job_path()});
    return context.print_response<wire::JobView>(
        outcome, retry_hint, [&](const wire::JobView& job) { write_jobs(context.out(), {job}); });
}

exit_code job_commands::list(command_context& context) const {
    const auto path = workspace_.empty() ? "/v1/jobs" : jobs_path(workspace_);
    const auto outcome = context.client().call({.method = "GET", .path = path});
    return context.print_response<wire::JobList>(
        outcome, retry_hint, [&](const wire::JobList& list) {
            write_jobs(context.out(), {list.items().begin(), list.items().end()});
        });
}

exit_code job_commands::cancel(command_context& context) const {
    const auto current = context.client().call({.method = "GET", .path = job_path()});
    wire::JobView current_job;
    if (current.succeeded() && command_context::parse_body(current.response, current_job) &&
        has_ended(current_job)) {
        context.error() << "Job " << id_ << " has already " << current_job.phase()
                        << "; nothing was changed.\n";
        return exit_code::ok;
    }
    api_request request;
    request.method = "DELETE";
    request.path = job_path() + (reason_.empty() ? "" : "?reason=" + percent_encode(reason_));
    return context.print_response<wire::JobView>(
        context.client().call(request), "repeat the command; cancelling a job again has no effect",
        [&](const wire::JobView& job) { write_jobs(context.out(), {job}); });
}

exit_code job_commands::watch(command_context& context) const {
    std::string last_line;
    for (;;) {
        const auto outcome = context.client().call({.method = "GET", .path = job_path()});
        wire::JobView job;
        if (!outcome.succeeded()) {
            return context.report_failure(outcome, retry_hint);
        }
        if (!command_context::parse_body(outcome.response, job)) {
            return context.report_unreadable_response();
        }
        const auto line = progress_line(job);
        if (line != last_line) {
            if (context.json()) {
                context.print_body(outcome.response.body);
            } else {
                context.out() << line << std::endl;
            }
            last_line = line;
        }
        if (has_ended(job)) {
            return job.phase() == "finished" ? exit_code::ok : exit_code::refused;
        }
        context.client().sleep_for(std::chrono::milliseconds{interval_ms_});
    }
}

}  // namespace baobabrack::ctl
