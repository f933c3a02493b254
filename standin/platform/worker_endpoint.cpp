#include "standin/platform/worker_endpoint.hpp"

#include <ostream>

#include "platform/http_status.hpp"
#include "platform/json_reader.hpp"
#include "platform/worker_client.hpp"

namespace baobabrack::standin {

namespace {

using namespace std::chrono_literals;
using workload::call_outcome;

constexpr duration announce_interval = 700ms;
constexpr duration call_timeout = 2s;
constexpr const char* json_type = "application/json";

int to_status(call_outcome outcome) {
    switch (outcome) {
        case call_outcome::accepted:
            return platform::status_ok;
        case call_outcome::other_worker:
            return platform::status_misdirected_request;
        case call_outcome::unavailable:
            return platform::status_service_unavailable;
        case call_outcome::rejected:
            return platform::status_bad_request;
        default:
            return platform::status_conflict;
    }
}

const char* to_reason(call_outcome outcome) {
    switch (outcome) {
        case call_outcome::fenced:
            return "fence";
        case call_outcome::outdated:
            return "old";
        case call_outcome::late:
            return "late";
        case call_outcome::no_room:
            return "room";
        default:
            return "";
    }
}

const char* to_outcome_name(workload::run_outcome outcome) {
    switch (outcome) {
        case workload::run_outcome::done:
            return "done";
        case workload::run_outcome::failed:
            return "failed";
        case workload::run_outcome::lease_lapsed:
            return "lapsed";
        default:
            return "stopped";
    }
}

workload::run_number run_number_of(platform::json_reader& fields) {
    return workload::run_number{static_cast<std::uint32_t>(fields.number("RunId"))};
}

}  // namespace

worker_endpoint::worker_endpoint(options opts, runtime& loop, http_client& client)
    : options_(std::move(opts)),
      loop_(loop),
      client_(client),
      worker_({.host = options_.host,
               .capacity = {.cpu = cpu_millicores{64'000},
                            .memory = memory_mib{262'144},
                            .accelerators = accelerator_count{8}},
               .rack = options_.rack,
               .run_time = options_.run_time},
              loop, *this),
      link_(worker_),
      announce_timer_(loop) {
    announce();
}

void worker_endpoint::announce() {
    announce_timer_.arm(announce_interval, [this] { announce(); });
    const auto facts = worker_.facts();
    const nlohmann::json body{{"Service", options_.service},
                              {"Zone", facts.data_centre.get()},
                              {"State", "ready"},
                              {"Capacity",
                               {{"Cpu", facts.capacity.cpu.get()},
                                {"MemMb", facts.capacity.memory.get()},
                                {"Gpu", facts.capacity.accelerators.get()}}},
                              {"Labels", {"a", options_.rack.get()}},
                              {"ClockMs", worker_.clock().get()},
                              {"Sequence", ++announcement_sequence_},
                              {"born", facts.instance.version.get()}};
    http_call call;
    call.to = options_.guard;
    call.method = "PUT";
    call.path = "/-/instances/" + facts.instance.worker.get();
    call.headers = {{"Content-Type", json_type}};
    call.body = body.dump();
    call.deadline = call_timeout;
    client_.send(std::move(call), [](const http_outcome&) {});
}

void worker_endpoint::handle(http_request request, http_responder responder) {
    const auto body = platform::parse_json(request.body);
    if (!body || !body->is_object()) {
        responder.respond({.status = platform::status_bad_request});
    } else if (request.path == "/-/run-start") {
        start(*body, responder);
    } else if (request.path == "/-/run-stop") {
        stop(*body, responder);
    } else if (request.path == "/-/hold") {
        renew(*body, responder);
    } else {
        responder.respond({.status = platform::status_not_found});
    }
}

void worker_endpoint::answer(const http_responder& responder, const workload::call_reply& reply,
                             nlohmann::json body) const {
    body["ClockMs"] = worker_.clock().get();
    if (to_status(reply.outcome) == platform::status_conflict) {
        body["Reason"] = to_reason(reply.outcome);
    }
    responder.respond({.status = to_status(reply.outcome),
                       .headers = {{"Content-Type", json_type}},
                       .body = body.dump()});
}

void worker_endpoint::start(const nlohmann::json& body, const http_responder& responder) {
    platform::json_reader fields(body);
    const auto task = platform::parse_task(fields.text("Task"));
    if (!task) {
        responder.respond({.status = platform::status_bad_request});
        return;
    }
    const auto lease = static_cast<std::int64_t>(fields.number("DeadlineMs"));
    link_.start({.worker = worker_.facts().instance,
                 .run = {.task = *task, .run = run_number_of(fields)},
                 .token = workload::fencing_token{fields.number("FencingToken")},
                 .lease_until = workload::worker_time{lease},
                 .timeout = call_timeout},
                [this, responder](const workload::call_reply& reply) {
                    answer(responder, reply, nlohmann::json::object());
                });
}

void worker_endpoint::stop(const nlohmann::json& body, const http_responder& responder) {
    platform::json_reader fields(body);
    const auto task = platform::parse_task(fields.text("Task"));
    if (!task) {
        responder.respond({.status = platform::status_bad_request});
        return;
    }
    link_.stop({.worker = worker_.facts().instance,
                .run = {.task = *task, .run = run_number_of(fields)},
                .token = workload::fencing_token{fields.number("FencingToken")},
                .timeout = call_timeout},
               [this, responder](const workload::call_reply& reply) {
                   answer(responder, reply, nlohmann::json::object());
               });
}

void worker_endpoint::renew(const nlohmann::json& body, const http_responder& responder) {
    platform::json_reader fields(body);
    workload::worker_port::renew_call call{
        .worker = worker_.facts().instance,
        .token = workload::fencing_token{fields.number("FencingToken")},
        .acknowledged_ends = fields.number("LastSeen"),
        .lease_until = std::nullopt,
        .wait = std::chrono::milliseconds{fields.number("WaitMs")},
        .timeout = call_timeout};
    if (fields.find("DeadlineMs") != nullptr) {
        call.lease_until =
            workload::worker_time{static_cast<std::int64_t>(fields.number("DeadlineMs"))};
    }
    link_.renew(call, [this, responder](const workload::renew_reply& reply) {
        auto running = nlohmann::json::array();
        for (const auto& run : reply.lists.runs) {
            running.push_back({to_text(run.task), run.run.get(), run.checkpoint, run.percent});
        }
        auto finished = nlohmann::json::array();
        for (const auto& end : reply.lists.ends) {
            finished.push_back(
                {end.sequence, to_text(end.task), end.run.get(), to_outcome_name(end.outcome), ""});
        }
        answer(responder, reply.reply,
               {{"Running", running},
                {"Finished", finished},
                {"born", worker_.facts().instance.version.get()}});
    });
}

void worker_endpoint::run_started(const workload::task_name& task, workload::run_number run,
                                  const workload::worker_instance& instance) {
    if (options_.run_output != nullptr) {
        *options_.run_output << "run " << to_text(task) << " " << run << " on " << instance.host
                             << std::endl;
    }
}

}  // namespace baobabrack::standin
