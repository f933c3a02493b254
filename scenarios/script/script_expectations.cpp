#include "script/script_commands.hpp"

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

constexpr duration step = 50ms;

std::string in_milliseconds(duration span) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return std::to_string(count) + " ms";
}

/// @return the limit of `within DURATION`; zero if it is absent
duration take_limit(words& given) {
    const auto limit = given.take_if("within") ? given.take_duration() : duration::zero();
    given.end();
    return limit;
}

}  // namespace

void script_commands::expect(words& given) {
    if (given.take_if("job")) {
        expect_job(given);
    } else if (given.take_if("request")) {
        expect_request(given);
    } else if (given.take_if("ticket")) {
        expect_ticket(given);
    } else if (given.take_if("worker")) {
        expect_worker(given);
    } else if (given.take_if("workers")) {
        expect_workers(given);
    } else if (given.take_if("ready")) {
        const auto id = given.take("an entry");
        until(
            "entry " + id + " is ready", take_limit(given),
            [&] { return world_.entry(id).node().ready(); }, [] { return "it is not"; });
    } else if (given.take_if("drained")) {
        const auto id = given.take("an entry");
        until(
            "entry " + id + " has drained", take_limit(given),
            [&] { return world_.has_drained(id); }, [] { return "it has not"; });
    } else {
        throw script_error("expected job, request, ticket, worker, workers, ready or drained");
    }
}

void script_commands::until(const std::string& what, duration limit,
                            const std::function<bool()>& holds,
                            const std::function<std::string()>& seen) {
    const auto end = world_.loop().now() + limit;
    while (!holds()) {
        if (world_.loop().now() >= end) {
            throw script_error("expected that " + what + " within " + in_milliseconds(limit) +
                               ", but " + seen());
        }
        run(step);
    }
}

std::string script_commands::job_state(const std::string& job) {
    const auto* known = world_.any_entry().node().jobs().find(job_id{job});
    if (known == nullptr) {
        return "unknown";
    }
    if (known->phase == job_phase::committed &&
        world_.running_members(job) == known->members.size()) {
        return "running";
    }
    return std::string(to_string(known->phase));
}

std::string script_commands::job_message(const std::string& job) {
    const auto* known = world_.any_entry().node().jobs().find(job_id{job});
    if (known == nullptr) {
        return "";
    }
    std::string text = known->message;
    for (const auto& stop : known->stops) {
        text += " [attempt " + std::to_string(stop.attempt.get()) +
                " stopped: " + std::string(to_string(stop.reason)) + " " +
                stop.failed_worker.get() + "]";
    }
    return text;
}

void script_commands::expect_job(words& given) {
    const auto job = given.take("a job's id");
    if (given.take_if("attempt")) {
        const auto number = given.take_number("an attempt");
        until(
            job + " is at attempt " + std::to_string(number), take_limit(given),
            [&] {
                const auto* known = world_.any_entry().node().jobs().find(job_id{job});
                return known != nullptr && known->attempt.get() == number;
            },
            [&] { return job + " is " + job_state(job); });
        return;
    }
    if (given.take_if("members")) {
        const auto number = given.take_number("how many members run");
        until(
            std::to_string(number) + " members of " + job + " run", take_limit(given),
            [&] { return world_.running_members(job) == number; },
            [&] { return std::to_string(world_.running_members(job)) + " run"; });
        return;
    }
    const auto state = given.take("a state of the job");
    until(
        job + " is " + state, take_limit(given), [&] { return job_state(job) == state; },
        [&] { return job + " is " + job_state(job) + ": " + job_message(job); });
}

std::string script_commands::request_state(const std::string& name) {
    const auto& sent = world_.request(name);
    if (!sent.answer) {
        return "it has no answer";
    }
    if (const auto* refused = std::get_if<refusal>(&*sent.answer)) {
        return "it was refused: " + std::string(to_string(refused->reason)) + ", ran " +
               std::string(to_string(refused->ran));
    }
    return "it was answered " + std::get<whole_answer>(*sent.answer).body;
}

void script_commands::expect_request(words& given) {
    const auto name = given.take("a request");
    const auto what = given.take("answered, refused or ran");
    const auto seen = [&] { return request_state(name); };
    if (what == "answered") {
        until(
            "request " + name + " is answered", take_limit(given),
            [&] { return world_.request(name).whole(); }, seen);
    } else if (what == "refused") {
        const auto ran = given.take("no, yes or unknown");
        until(
            "request " + name + " is refused with ran " + ran, take_limit(given),
            [&] {
                const auto& answer = world_.request(name).answer;
                const auto* refused = answer ? std::get_if<refusal>(&*answer) : nullptr;
                return refused != nullptr && to_string(refused->ran) == ran;
            },
            seen);
    } else if (what == "ran") {
        const auto times = given.take_number("how often");
        until(
            "request " + name + " ran " + std::to_string(times) + " times", take_limit(given),
            [&] { return world_.runs_of(world_.request(name).key) == times; }, seen);
    } else {
        throw script_error("a request is answered, refused or ran");
    }
}

void script_commands::expect_ticket(words& given) {
    const auto number = given.take_number("a ticket's number");
    if (given.take_if("refused")) {
        const auto prefix = std::to_string(number) + " of ";
        const auto refused = [&] {
            for (const auto& [name, why] : ticket_refusals_) {
                if (name.starts_with(prefix) && !why.empty()) {
                    return true;
                }
            }
            return false;
        };
        until("ticket " + std::to_string(number) + " is refused", take_limit(given), refused,
              [] { return "it is not"; });
        return;
    }
    if (!given.take_if("everywhere")) {
        throw script_error("a ticket is expected everywhere or refused");
    }
    const auto everywhere = [&] {
        for (const auto& [id, one] : world_.entries()) {
            const auto& history = one->node().tickets().history();
            if (!one->paused() && history.count(ticket_number{number}) == 0) {
                return false;
            }
        }
        return true;
    };
    until("ticket " + std::to_string(number) + " is in force everywhere", take_limit(given),
          everywhere, [] { return "it is not"; });
}

void script_commands::expect_worker(words& given) {
    const worker_id id{given.take("a worker's id")};
    const auto state = given.take("idle or gone");
    const auto limit = take_limit(given);
    if (state == "idle") {
        until(
            "worker " + id.get() + " holds nothing", limit,
            [&] {
                const auto* one = world_.workers().find(id);
                return one == nullptr || one->held().empty();
            },
            [] { return "it holds tasks"; });
        return;
    }
    until(
        "worker " + id.get() + " is gone from the fleet", limit,
        [&] { return world_.any_entry().node().jobs().workers().find(id) == nullptr; },
        [] { return "it is there"; });
}

void script_commands::expect_workers(words& given) {
    const auto count = given.take_number("how many workers");
    until(
        std::to_string(count) + " workers have joined", take_limit(given),
        [&] { return world_.any_entry().node().jobs().workers().workers().size() == count; },
        [&] {
            const auto& joined = world_.any_entry().node().jobs().workers().workers();
            return std::to_string(joined.size()) + " have";
        });
}

}  // namespace baobabrack::scenario
