#include "baobabrack/workload/job_frontend.hpp"

#include <catch2/catch.hpp>

#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

const request_address valid_request{.host = "host", .path = "/queue/j", .key = "key"};

}  // namespace

TEST_CASE("Requests are routed by host, path and key", "[frontend]") {
    simulated_cluster cluster(1, {});
    cluster.run_for(2s);
    metrics_registry metrics;
    job_frontend frontend({}, cluster.loop, *cluster.scheduler(0), cluster.config, metrics);
    CHECK(frontend.find_route(valid_request).queue != nullptr);
    CHECK(frontend.find_route(valid_request).path_suffix == "j");
    CHECK(
        frontend.find_route({.host = "host", .path = "/queue/j", .key = "other"}).refusal.status ==
        reply_status::unknown_key);
    CHECK(frontend.find_route({.host = "host", .path = "/none/j", .key = "key"}).refusal.status ==
          reply_status::unknown_queue);
    CHECK(frontend.find_route({.host = "elsewhere", .path = "/queue/j", .key = "key"})
              .refusal.status == reply_status::unknown_queue);
    CHECK(frontend.ready());
}

TEST_CASE("Requests are refused while the configuration is not confirmed as current",
          "[frontend]") {
    simulated_cluster cluster(2, {});
    cluster.run_for(2s);
    metrics_registry metrics;
    job_frontend frontend({}, cluster.loop, *cluster.scheduler(0), cluster.config, metrics);
    cluster.config.available = false;
    CHECK(frontend.find_route(valid_request).refusal.status == reply_status::not_now);
    CHECK_FALSE(frontend.ready());
}

TEST_CASE("A job is not reported as unknown while the job table may be out of date", "[frontend]") {
    simulated_cluster cluster(3, {});
    cluster.run_for(2s);
    metrics_registry metrics;
    job_frontend frontend({}, cluster.loop, *cluster.scheduler(0), cluster.config, metrics);
    const auto route = frontend.find_route(valid_request);
    CHECK(frontend.job_state(route, job_id{"none"}).status == reply_status::unknown_job);
    cluster.store_link(0).active_faults.silent = true;
    cluster.run_for(6s);
    CHECK(frontend.job_state(route, job_id{"none"}).status == reply_status::not_now);
    CHECK_FALSE(frontend.ready());
}

// A scheduler that had lost the store went on to report a queue as empty.
TEST_CASE("A queue is not reported as empty while the job table may be out of date", "[frontend]") {
    simulated_cluster cluster(6, {});
    cluster.run_for(2s);
    metrics_registry metrics;
    job_frontend frontend({}, cluster.loop, *cluster.scheduler(0), cluster.config, metrics);
    const auto route = frontend.find_route(valid_request);
    CHECK(frontend.queue_state(route).status == reply_status::accepted);
    cluster.store_link(0).active_faults.silent = true;
    cluster.run_for(6s);
    CHECK(frontend.queue_state(route).status == reply_status::not_now);
}

TEST_CASE("The retry delay grows with the duration of a store outage", "[frontend]") {
    simulated_cluster cluster(4, {});
    cluster.run_for(2s);
    metrics_registry metrics;
    job_frontend frontend({}, cluster.loop, *cluster.scheduler(0), cluster.config, metrics);
    frontend_reply reply;
    const auto submit = [&](const std::string& id) {
        std::optional<frontend_reply> received;
        frontend.submit(frontend.find_route(valid_request), job_of(id, 1, 1), 3s,
                        [&](const frontend_reply& answer) { received = answer; });
        cluster.run_until([&] { return received.has_value(); }, 4s);
        return received.value_or(frontend_reply{});
    };
    for (unsigned index = 0; index < 3; ++index) {
        cluster.store_link(index).active_faults.refuses = true;
    }
    cluster.run_for(1500ms);
    reply = submit("a");
    CHECK(reply.status == reply_status::not_now);
    CHECK(reply.retry_after >= 1s);
    const auto first = reply.retry_after;
    cluster.run_for(3s);
    reply = submit("b");
    CHECK(reply.retry_after > first);
    CHECK(reply.retry_after <= 4s);
}

TEST_CASE("A job that is submitted again after its acknowledgement is accepted but runs only once",
          "[frontend]") {
    simulated_cluster cluster(5, {});
    cluster.run_for(2s);
    metrics_registry metrics;
    job_frontend frontend({}, cluster.loop, *cluster.scheduler(0), cluster.config, metrics);
    for (int repeat = 0; repeat < 2; ++repeat) {
        std::optional<frontend_reply> received;
        frontend.submit(frontend.find_route(valid_request), job_of("j", 1, 1), 3s,
                        [&](const frontend_reply& answer) { received = answer; });
        REQUIRE(cluster.run_until([&] { return received.has_value(); }, 3s));
        CHECK(received->status == reply_status::accepted);
        cluster.run_for(2s);
    }
    CHECK(cluster.runs_started == 1);
}

namespace {

/// @return the answer to a cancellation at a scheduler
frontend_reply cancel_at(simulated_cluster& cluster, unsigned index, const std::string& id) {
    metrics_registry metrics;
    job_frontend frontend({}, cluster.loop, *cluster.scheduler(index), cluster.config, metrics);
    std::optional<frontend_reply> received;
    frontend.cancel(frontend.find_route(valid_request), job_id{id}, 3s,
                    [&](const frontend_reply& answer) { received = answer; });
    cluster.run_until([&] { return received.has_value(); }, 4s);
    REQUIRE(received);
    return *received;
}

}  // namespace

// A scheduler that does not lead reads submissions every 120 ms, and answered that there is no such
// job until then. The caller took the job for gone, and it ran to its end.
TEST_CASE("A job can be cancelled at any scheduler as soon as it has been accepted", "[frontend]") {
    simulated_cluster cluster(31, {.run_time = 20s});
    cluster.run_for(2s);
    const auto leader = cluster.leader_index();
    const auto other = (leader + 1) % 3;
    for (int number = 0; number < 40; ++number) {
        const auto id = "j" + std::to_string(number);
        REQUIRE(cluster.submit_at(leader, job_of(id, 1, 1)));
        cluster.run_for(std::chrono::milliseconds{number * 5});
        INFO("after " << number * 5 << " ms");
        CHECK(cancel_at(cluster, other, id).status == reply_status::accepted);
    }
    cluster.run_for(1s);
    for (unsigned host = 0; host < 4; ++host) {
        CHECK(cluster.worker(host).running() == 0);
    }
}

TEST_CASE("A cancellation is not answered as final while the store cannot be read", "[frontend]") {
    simulated_cluster cluster(32, {.run_time = 20s});
    cluster.run_for(2s);
    const auto leader = cluster.leader_index();
    const auto other = (leader + 1) % 3;
    SECTION("the store refuses the scheduler") {
        cluster.store_link(other).active_faults.refuses = true;
    }
    SECTION("the store is silent") {
        cluster.store_link(other).active_faults.silent = true;
    }
    REQUIRE(cluster.submit_at(leader, job_of("j", 1, 1)));
    CHECK(cancel_at(cluster, other, "j").status == reply_status::not_now);
}

// The other side: a job that does not exist is answered as such, at the cost of one read at a time.
TEST_CASE("Cancellations of unknown jobs are answered as final, with few reads", "[frontend]") {
    simulated_cluster cluster(33, {});
    cluster.run_for(2s);
    CHECK(cancel_at(cluster, 0, "none").status == reply_status::unknown_job);
    metrics_registry metrics;
    job_frontend frontend({}, cluster.loop, *cluster.scheduler(0), cluster.config, metrics);
    int answered = 0;
    const auto began = cluster.loop.now();
    for (int number = 0; number < 500; ++number) {
        frontend.cancel(frontend.find_route(valid_request), job_id{"none" + std::to_string(number)},
                        3s, [&](const frontend_reply& answer) {
                            answered += answer.status == reply_status::unknown_job ? 1 : 0;
                        });
    }
    CHECK(cluster.run_until([&] { return answered == 500; }, 1s));
    CHECK(cluster.loop.now() - began < 50ms);
}

namespace {

/// A cluster whose configuration has two workspaces, a private and a public queue.
class shared_cluster : public simulated_cluster {
public:
    explicit shared_cluster(std::uint64_t seed) : simulated_cluster(seed, {.run_time = 20s}) {
        config.config.queues.push_back({.id = queue_id{"open"},
                                        .host = "host",
                                        .path_prefix = "/open/",
                                        .service = service_id{"service"},
                                        .is_public = true});
        config.config.workspaces.push_back(
            {.id = workspace_id{"stranger"}, .keys = {"foreign"}, .guaranteed = {}});
        run_for(2s);
    }

    job_frontend::route route(const std::string& path, const std::string& key) {
        return frontend_.find_route({.host = "host", .path = path + "j", .key = key});
    }

    reply_status submit_by(const std::string& path, const std::string& key, const std::string& id) {
        std::optional<frontend_reply> received;
        frontend_.submit(route(path, key), job_of(id, 1, 1), 3s,
                         [&](const frontend_reply& answer) { received = answer; });
        run_until([&] { return received.has_value(); }, 4s);
        REQUIRE(received);
        return received->status;
    }

    reply_status cancel_by(const std::string& path, const std::string& key, const std::string& id) {
        std::optional<frontend_reply> received;
        frontend_.cancel(route(path, key), job_id{id}, 3s,
                         [&](const frontend_reply& answer) { received = answer; });
        run_until([&] { return received.has_value(); }, 4s);
        REQUIRE(received);
        return received->status;
    }

    reply_status state_by(const std::string& path, const std::string& key, const std::string& id) {
        return frontend_.job_state(route(path, key), job_id{id}).status;
    }

    /// @return the answer of a scheduler that has started anew
    reply_status state_after_restart(const std::string& key, const std::string& id) {
        job_frontend restarted({}, loop, *scheduler(1), config, metrics_);
        const auto found =
            restarted.find_route({.host = "host", .path = "/queue/" + id, .key = key});
        return restarted.job_state(found, job_id{id}).status;
    }

    /// Publishes the next version of the configuration, with these workspaces alone.
    void replace_workspaces(std::vector<workspace_config> workspaces) {
        config.config.version = config_version{config.config.version.get() + 1};
        config.config.workspaces = std::move(workspaces);
    }

    bool is_cancelled(const std::string& id) {
        return scheduler(0)->jobs().find(job_id{id})->cancelled;
    }

private:
    metrics_registry metrics_;
    job_frontend frontend_{{}, loop, *scheduler(0), config, metrics_};
};

}  // namespace

// A status request with the valid key of another workspace showed the job's state, a cancellation
// cancelled it, and a submission under its id was answered as accepted.
TEST_CASE("To another workspace a job does not exist", "[frontend][access]") {
    shared_cluster cluster(41);
    REQUIRE(cluster.submit_by("/queue/", "key", "j") == reply_status::accepted);
    for (const std::string path : {"/queue/", "/open/"}) {
        INFO(path);
        CHECK(cluster.state_by(path, "foreign", "j") == reply_status::unknown_job);
        CHECK(cluster.cancel_by(path, "foreign", "j") == reply_status::unknown_job);
        CHECK(cluster.submit_by(path, "foreign", "j") == reply_status::invalid);
    }
    CHECK(cluster.state_by("/open/", "", "j") == reply_status::unknown_job);
    CHECK(cluster.cancel_by("/open/", "", "j") == reply_status::unknown_job);
    CHECK(cluster.submit_by("/open/", "", "j") == reply_status::invalid);
    CHECK_FALSE(cluster.is_cancelled("j"));
    CHECK(cluster.state_by("/queue/", "key", "j") == reply_status::accepted);
    CHECK(cluster.submit_by("/queue/", "key", "j") == reply_status::accepted);
}

TEST_CASE("A workspace reaches its job by way of any queue and with any of its keys",
          "[frontend][access]") {
    shared_cluster cluster(42);
    REQUIRE(cluster.submit_by("/open/", "key", "j") == reply_status::accepted);
    CHECK(cluster.state_by("/open/", "key", "j") == reply_status::accepted);
    CHECK(cluster.state_by("/queue/", "key", "j") == reply_status::accepted);
    auto& config = cluster.config.config;
    config.version = config_version{config.version.get() + 1};
    for (auto& queue : config.queues) {
        queue.path_prefix = "/moved" + queue.path_prefix;
    }
    config.workspaces.front().keys = {"new"};
    CHECK(cluster.state_by("/moved/open/", "new", "j") == reply_status::accepted);
    CHECK(cluster.submit_by("/moved/queue/", "new", "j") == reply_status::accepted);
    CHECK(cluster.cancel_by("/moved/queue/", "new", "j") == reply_status::accepted);
    CHECK(cluster.is_cancelled("j"));
}

TEST_CASE("A job that was submitted without a key belongs to its queue", "[frontend][access]") {
    shared_cluster cluster(43);
    REQUIRE(cluster.submit_by("/open/", "", "j") == reply_status::accepted);
    CHECK(cluster.state_by("/queue/", "key", "j") == reply_status::unknown_job);
    CHECK(cluster.cancel_by("/queue/", "key", "j") == reply_status::unknown_job);
    CHECK(cluster.state_by("/open/", "", "j") == reply_status::accepted);
    CHECK(cluster.state_by("/open/", "key", "j") == reply_status::accepted);
    cluster.config.config.queues.back().path_prefix = "/moved/";
    CHECK(cluster.submit_by("/moved/", "", "j") == reply_status::accepted);
    CHECK(cluster.cancel_by("/moved/", "", "j") == reply_status::accepted);
    CHECK(cluster.is_cancelled("j"));
}

// The job was looked up by the name that its workspace had at its submission, so that its owner was
// told that there is no such job (review/15).
TEST_CASE("A renamed workspace keeps its jobs", "[frontend][access]") {
    shared_cluster cluster(45);
    REQUIRE(cluster.submit_by("/queue/", "key", "j") == reply_status::accepted);
    cluster.replace_workspaces({{.id = workspace_id{"renamed"}, .keys = {"key"}}});
    CHECK(cluster.state_by("/queue/", "key", "j") == reply_status::accepted);
    CHECK(cluster.submit_by("/queue/", "key", "j") == reply_status::accepted);
    SECTION("and can cancel them") {
        CHECK(cluster.cancel_by("/queue/", "key", "j") == reply_status::accepted);
        CHECK(cluster.is_cancelled("j"));
    }
    SECTION("also after another key, another name and the loss of all schedulers") {
        cluster.replace_workspaces({{.id = workspace_id{"renamed"}, .keys = {"key", "next"}}});
        cluster.run_for(1s);
        cluster.replace_workspaces({{.id = workspace_id{"again"}, .keys = {"next"}}});
        cluster.run_for(1s);
        cluster.lose_all_power(3s);
        cluster.run_for(6s);
        CHECK(cluster.state_after_restart("next", "j") == reply_status::accepted);
    }
}

// The new holder of the name was shown the state of jobs that were not its own.
TEST_CASE("The next holder of a workspace's former name gets none of its jobs",
          "[frontend][access]") {
    shared_cluster cluster(46);
    REQUIRE(cluster.submit_by("/queue/", "key", "j") == reply_status::accepted);
    const auto former = cluster.config.config.workspaces.front().id;
    cluster.replace_workspaces(
        {{.id = former, .keys = {"other"}}, {.id = workspace_id{"renamed"}, .keys = {"key"}}});
    const auto check = [&] {
        CHECK(cluster.state_by("/queue/", "other", "j") == reply_status::unknown_job);
        CHECK(cluster.cancel_by("/queue/", "other", "j") == reply_status::unknown_job);
        CHECK(cluster.submit_by("/queue/", "other", "j") == reply_status::invalid);
        CHECK(cluster.state_by("/queue/", "key", "j") == reply_status::accepted);
    };
    check();
    cluster.run_for(2s);
    check();
    CHECK_FALSE(cluster.is_cancelled("j"));
    cluster.lose_all_power(3s);
    cluster.run_for(6s);
    CHECK(cluster.state_after_restart("other", "j") == reply_status::unknown_job);
    CHECK(cluster.state_after_restart("key", "j") == reply_status::accepted);
}

// Both were answered as accepted, and afterwards each scheduler showed the job to another of the
// two.
TEST_CASE("An id that two workspaces choose at once goes to one, the same on every scheduler",
          "[frontend][access][known-red]") {
    shared_cluster cluster(47);
    metrics_registry metrics;
    job_frontend other({}, cluster.loop, *cluster.scheduler(1), cluster.config, metrics);
    const auto route_of = [&](const std::string& key) {
        return other.find_route({.host = "host", .path = "/queue/j", .key = key});
    };
    std::optional<frontend_reply> second;
    other.submit(route_of("foreign"), job_of("j", 1, 1), 3s,
                 [&](const frontend_reply& answer) { second = answer; });
    const auto first = cluster.submit_by("/queue/", "key", "j");
    REQUIRE(cluster.run_until([&] { return second.has_value(); }, 4s));
    CHECK((first == reply_status::accepted) != (second->status == reply_status::accepted));
    cluster.run_for(2s);
    for (const std::string key : {"key", "foreign"}) {
        CHECK(cluster.state_by("/queue/", key, "j") ==
              other.job_state(route_of(key), job_id{"j"}).status);
    }
}

// A scheduler whose configuration is older than the one of the job's acceptance may not know the
// key of the job's owner yet, so its answer must not be final.
TEST_CASE("A caller is not refused for good by a configuration older than the job",
          "[frontend][access]") {
    shared_cluster cluster(44);
    auto& config = cluster.config.config;
    const auto older = config;
    config.version = config_version{config.version.get() + 1};
    config.workspaces.front().keys = {"new"};
    REQUIRE(cluster.submit_by("/open/", "new", "j") == reply_status::accepted);
    config = older;
    CHECK(cluster.state_by("/open/", "new", "j") == reply_status::not_now);
    CHECK(cluster.cancel_by("/open/", "new", "j") == reply_status::not_now);
    CHECK(cluster.submit_by("/open/", "new", "j") == reply_status::unclear);
}

// Small submissions of many tasks took all memory of a scheduler.
TEST_CASE("Submissions beyond the memory for jobs are refused and never stored", "[frontend]") {
    simulated_cluster cluster(6, {});
    cluster.run_for(2s);
    metrics_registry metrics;
    const std::size_t max_bytes = 48UL << 20U;
    job_frontend frontend({.memory = {.max_bytes = max_bytes}}, cluster.loop, *cluster.scheduler(0),
                          cluster.config, metrics);
    const auto submit = [&](const std::string& id) {
        std::optional<frontend_reply> received;
        frontend.submit(frontend.find_route(valid_request), job_of(id, 5000, 1), 3s,
                        [&](const frontend_reply& answer) { received = answer; });
        cluster.run_until([&] { return received.has_value(); }, 4s);
        return received.value_or(frontend_reply{});
    };
    int accepted = 0;
    while (submit("j" + std::to_string(accepted)).status == reply_status::accepted) {
        ++accepted;
        REQUIRE(accepted < 20);
    }
    CHECK(accepted >= 10);
    const auto refused = submit("refused");
    CHECK(refused.status == reply_status::not_now);
    CHECK(refused.retry_after > 0s);
    // A repetition of a stored submission is not a new job.
    CHECK(submit("j0").status == reply_status::accepted);
    cluster.run_for(1s);
    CHECK(cluster.scheduler(0)->jobs().find(job_id{"refused"}) == nullptr);
    CHECK(cluster.scheduler(0)->jobs().memory().total() <= max_bytes / 2);
}

// Calls with a distant deadline held their memory while the store did not answer.
TEST_CASE("A call ends within a minute whatever deadline it names", "[frontend]") {
    simulated_cluster cluster(7, {});
    cluster.run_for(2s);
    metrics_registry metrics;
    job_frontend frontend({}, cluster.loop, *cluster.scheduler(0), cluster.config, metrics);
    for (unsigned index = 0; index < 3; ++index) {
        cluster.store_link(index).active_faults.silent = true;
    }
    std::optional<frontend_reply> received;
    frontend.submit(frontend.find_route(valid_request), job_of("j", 1, 1), 24h,
                    [&](const frontend_reply& answer) { received = answer; });
    cluster.run_for(61s);
    CHECK(received.has_value());
}
