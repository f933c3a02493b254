#include "script/script_commands.hpp"

#include <fstream>
#include <sstream>
#include <utility>

#include "baobabrack/ledger/ticket_json.hpp"

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

constexpr duration patience = 10s;

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw script_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

wire::Adjacency adjacency_of(const std::string& word) {
    static const std::map<std::string, wire::Adjacency> known{
        {"worker", wire::ADJACENCY_WORKER},
        {"rack", wire::ADJACENCY_RACK},
        {"data_centre", wire::ADJACENCY_DATA_CENTRE},
        {"region", wire::ADJACENCY_REGION}};
    const auto found = known.find(word);
    if (found == known.end()) {
        throw script_error("expected worker, rack, data_centre or region, got \"" + word + "\"");
    }
    return found->second;
}

fakes::target_mode mode_of(const std::string& word) {
    static const std::map<std::string, fakes::target_mode> known{
        {"ordinary", fakes::target_mode::ordinary}, {"slow", fakes::target_mode::slow},
        {"errors", fakes::target_mode::errors},     {"stall", fakes::target_mode::stalls},
        {"cross", fakes::target_mode::mismatches},  {"truncate", fakes::target_mode::truncates},
        {"double", fakes::target_mode::duplicates}};
    const auto found = known.find(word);
    if (found == known.end()) {
        throw script_error("a target cannot \"" + word + "\"");
    }
    return found->second;
}

resources capacity_of(words& given) {
    return {.cpu = cpu_millicores{given.option("-cpu", std::uint32_t{64'000})},
            .memory = memory_mib{given.option("-memory", std::uint32_t{262'144})},
            .accelerators = accelerator_count{given.option("-accelerators", std::uint32_t{8})}};
}

}  // namespace

script_commands::script_commands(std::uint64_t seed, std::string folder)
    : world_(seed), folder_(std::move(folder)) {
}

const std::map<std::string, script_commands::command>& script_commands::table() {
    static const std::map<std::string, command> commands{
        {"entry", &script_commands::entry},     {"workers", &script_commands::workers},
        {"worker", &script_commands::worker},   {"target", &script_commands::target},
        {"log", &script_commands::log},         {"network", &script_commands::network},
        {"ticket", &script_commands::ticket},   {"job", &script_commands::job},
        {"request", &script_commands::request}, {"wait", &script_commands::wait},
        {"expect", &script_commands::expect}};
    return commands;
}

void script_commands::run(duration span) {
    if (const auto violation = world_.run_for(span); !violation.empty()) {
        throw script_error(violation);
    }
}

void script_commands::wait(words& given) {
    const auto span = given.take_duration();
    given.end();
    run(span);
}

void script_commands::entry(words& given) {
    const auto id = given.take("an entry's id");
    if (given.take_if("start")) {
        world_.start_entry(id, given.take("a region"));
    } else if (given.take_if("kill")) {
        world_.kill_entry(id);
    } else if (given.take_if("drain")) {
        world_.drain_entry(id);
    } else if (given.take_if("pause")) {
        world_.entry(id).pause();
    } else if (given.take_if("resume")) {
        world_.entry(id).resume();
    } else if (given.take_if("cut-log")) {
        world_.entry(id).set_log_cut(true);
    } else if (given.take_if("mend-log")) {
        world_.entry(id).set_log_cut(false);
    } else {
        throw script_error("an entry can start, kill, drain, pause, resume, cut-log, mend-log");
    }
    given.end();
}

void script_commands::workers(words& given) {
    const auto prefix = given.take("a prefix of ids");
    const auto count = given.take_number("how many");
    const auto region = given.option("-region", "north");
    const auto per_rack = given.option("-per-rack", std::uint32_t{3});
    const auto capacity = capacity_of(given);
    given.end();
    world_.add_workers(prefix, region, count, per_rack, capacity);
}

void script_commands::worker(words& given) {
    const worker_id id{given.take("a worker's id")};
    if (given.take_if("pause")) {
        world_.workers().pause(id, given.take_duration());
    } else if (given.take_if("kill")) {
        world_.workers().kill(id);
    } else if (given.take_if("forget")) {
        world_.workers().forget(id);
    } else if (given.take_if("replace")) {
        world_.workers().replace(id);
    } else if (given.take_if("fail")) {
        world_.workers().find(id)->set_fail_all_tasks(true);
    } else if (given.take_if("mend")) {
        world_.workers().find(id)->set_fail_all_tasks(false);
    } else {
        throw script_error("a worker can pause, kill, forget, replace, fail, mend");
    }
    given.end();
}

void script_commands::target(words& given) {
    const auto id = given.take("a target's id");
    const auto what = given.take("what it does");
    if (what == "add") {
        const auto service = given.take("a service");
        world_.add_target(id, service, given.take("a region"));
    } else if (what == "leave") {
        world_.leave(id);
    } else if (what == "crash") {
        world_.targets().crash(target_id{id});
    } else {
        world_.targets().get(target_id{id}).mode = mode_of(what);
    }
    given.end();
}

void script_commands::log(words& given) {
    if (given.take_if("down")) {
        world_.log().set_down(true);
    } else if (given.take_if("up")) {
        world_.log().set_down(false);
    } else if (given.take_if("slow")) {
        world_.log().set_extra_delay(given.take_duration());
    } else if (given.take_if("lose-answers")) {
        world_.log().lose_append_answers(given.take_number("how many answers"));
    } else if (given.take_if("keep")) {
        world_.log().keep_last(given.take_number("how many entries"));
    } else {
        throw script_error("the log can go down, up, slow, lose-answers, keep");
    }
    given.end();
}

void script_commands::network(words& given) {
    const bool cut = given.take_if("cut");
    if (!cut && !given.take_if("mend")) {
        throw script_error("the network can cut or mend");
    }
    const auto one = given.take("an entry");
    const auto other = given.take("another entry");
    given.end();
    if (cut) {
        world_.network().partition(one, other);
    } else {
        world_.network().heal(one, other);
    }
}

void script_commands::ticket(words& given) {
    const auto via = given.option("-via", std::string{});
    const auto what = given.take("file or json");
    const auto text =
        what == "file" ? read_file(folder_ + "/" + given.take("a file")) : given.take("the ticket");
    given.end();
    const auto reading = read_ticket(text);
    if (!reading.problems.empty()) {
        throw script_error("the ticket cannot be read: " + describe(reading.problems));
    }
    auto& entry = via.empty() ? world_.any_entry() : world_.entry(via);
    const auto name = std::to_string(reading.ticket.number()) + " of " + reading.ticket.note();
    ticket_refusals_[name] = "";
    entry.node().submitter().submit(
        reading.ticket, "olga", patience, [this, name](const ticket_submitter::outcome& outcome) {
            if (!outcome.position) {
                ticket_refusals_[name] =
                    outcome.position.error().message + " " + describe(outcome.problems);
            }
        });
}

void script_commands::job(words& given) {
    if (given.take_if("submit")) {
        submit_job(given);
        return;
    }
    if (!given.take_if("cancel")) {
        throw script_error("a job can be submitted or cancelled");
    }
    const auto via = given.option("-via", std::string{});
    auto& entry = via.empty() ? world_.any_entry() : world_.entry(via);
    const job_id id{given.take("a job's id")};
    given.end();
    entry.node().gangs().cancel(id, "the script cancels it", patience, [](const auto&) {});
}

void script_commands::submit_job(words& given) {
    wire::JobSpec spec;
    spec.set_id(given.take("a job's id"));
    spec.set_workspace(given.option("-workspace", "w1"));
    auto& shape = *spec.mutable_shape();
    shape.set_members(given.option("-members", std::uint32_t{1}));
    shape.mutable_per_member()->set_accelerators(given.option("-accelerators", std::uint32_t{1}));
    shape.mutable_per_member()->set_cpu_millicores(given.option("-cpu", std::uint32_t{1000}));
    shape.mutable_per_member()->set_memory_mib(given.option("-memory", std::uint32_t{1024}));
    shape.set_adjacency(adjacency_of(given.option("-adjacency", "rack")));
    const auto run_time = given.option("-run", duration{5s});
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(run_time).count();
    spec.set_command("run_ms=" + std::to_string(milliseconds) + given.option("-fault", ""));
    spec.set_declared_run_ms(static_cast<std::uint64_t>(milliseconds));
    spec.set_max_attempts(given.option("-attempts", std::uint32_t{3}));
    spec.set_urgent(given.flag("-urgent"));
    spec.set_checkpointable(given.flag("-checkpointable"));
    const auto via = given.option("-via", std::string{});
    given.end();
    auto& entry = via.empty() ? world_.any_entry() : world_.entry(via);
    entry.node().gangs().submit(spec, patience, [](const auto&) {});
}

void script_commands::request(words& given) {
    const auto name = given.take("a name for the request");
    const auto via = given.take("the entry that gets it");
    caller_request sent{.workspace = given.option("-workspace", "w1"),
                        .request_class = given.option("-class", "check"),
                        .body = given.option("-body", name)};
    if (const auto key = given.option("-key", std::string{}); !key.empty()) {
        const auto issued = world_.loop().wall_now().time_since_epoch().count();
        // Rounded, so that the same name gives the same key for a while.
        constexpr std::int64_t rounding_ms = 600'000;
        sent.key = idempotency_key{std::to_string(issued - issued % rounding_ms) + "-" + key};
    }
    sent.attempt = given.option("-attempt", std::uint32_t{0});
    sent.deadline = given.option("-deadline", duration{2s});
    sent.caller_region = region_id{given.option("-from", "")};
    given.end();
    world_.send(name, via, std::move(sent));
}

}  // namespace baobabrack::scenario
