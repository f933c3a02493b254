#include "workload/workload_world.hpp"

namespace baobabrack::testing {

namespace {

using namespace std::chrono_literals;

constexpr duration announce_interval = 700ms;
constexpr std::uint32_t millicores_per_host = 64'000;
constexpr std::uint32_t memory_per_host = 256'000;

std::string scheduler_name(unsigned at) {
    return "s" + std::to_string(at);
}

std::string host_name(unsigned at) {
    return "h" + std::to_string(at);
}

}  // namespace

workload_world::workload_world(std::uint64_t seed, options opts)
    : loop(seed), store(loop), config(loop), options_(opts), network_(loop, {}) {
    config.config.version = workload::config_version{1};
    config.config.queues.push_back({.id = workload::queue_id{"queue"},
                                    .host = "host",
                                    .path_prefix = "/queue/",
                                    .service = service_id{"service"}});
    config.config.services.push_back({.id = service_id{"service"}});
    config.config.workspaces.push_back(
        {.id = workspace_id{"workspace"}, .keys = {"key"}, .guaranteed = accelerator_count{8}});
    schedulers_.resize(opts.schedulers);
    hosts_.resize(opts.hosts);
    for (unsigned at = 0; at < opts.schedulers; ++at) {
        start_scheduler(at);
    }
    for (unsigned at = 0; at < opts.hosts; ++at) {
        const fakes::fake_guarded_worker::options worker{
            .host = workload::host_id{host_name(at)},
            .capacity = {.cpu = cpu_millicores{millicores_per_host},
                         .memory = memory_mib{memory_per_host},
                         .accelerators = accelerator_count{opts.accelerators_per_host}},
            .rack = rack_id{"r" + std::to_string(at / opts.hosts_per_rack)},
            .run_time = opts.run_time};
        hosts_[at].worker = std::make_unique<fakes::fake_guarded_worker>(worker, loop, *this);
        start_guard(at);
        announce(at);
    }
}

void workload_world::start_scheduler(unsigned at) {
    auto& one = schedulers_[at];
    one.link = std::make_unique<fakes::fake_store_link>(loop, store);
    one.network = network_.attach(scheduler_name(at));
    one.metrics = std::make_unique<metrics_registry>();
    workload::scheduler_node::options opts{.id = scheduler_name(at),
                                           .life = incarnation{++lives_},
                                           .zmq_endpoint = scheduler_name(at)};
    for (unsigned other = 0; other < options_.schedulers; ++other) {
        opts.seeds.push_back(scheduler_name(other));
    }
    one.node = std::make_unique<workload::scheduler_node>(
        opts, workload::scheduler_node::environment{.loop = loop,
                                                    .log = *one.link,
                                                    .network = *one.network,
                                                    .config = config,
                                                    .metrics = *one.metrics});
    one.node->start();
}

void workload_world::kill_scheduler(unsigned at) {
    auto& one = schedulers_[at];
    one.node.reset();
    one.metrics.reset();
    one.network.reset();
    one.link.reset();
}

void workload_world::start_guard(unsigned at) {
    auto& one = hosts_[at];
    one.link = std::make_unique<fakes::fake_worker_link>(*one.worker);
    one.network = network_.attach(host_name(at));
    one.metrics = std::make_unique<metrics_registry>();
    workload::worker_guard::options opts{.host = workload::host_id{host_name(at)},
                                         .life = incarnation{++lives_},
                                         .zmq_endpoint = host_name(at),
                                         .seeds = {}};
    for (unsigned other = 0; other < options_.schedulers; ++other) {
        opts.seeds.push_back(scheduler_name(other));
    }
    one.guard =
        std::make_unique<workload::worker_guard>(opts, loop, *one.network, *one.link, *one.metrics);
    one.guard->start();
}

void workload_world::kill_guard(unsigned at) {
    auto& one = hosts_[at];
    one.guard.reset();
    one.metrics.reset();
    one.network.reset();
    one.link.reset();
}

void workload_world::point_guards_at(unsigned scheduler_number) {
    for (auto& one : hosts_) {
        one.guard->set_seeds({scheduler_name(scheduler_number)});
    }
}

void workload_world::crash_worker(unsigned at) {
    hosts_[at].worker->crash();
}

void workload_world::announce_earlier_life(unsigned at) {
    auto& one = hosts_[at];
    auto facts = one.worker->facts();
    facts.life.version = incarnation{facts.life.version.get() - 1};
    if (one.guard != nullptr) {
        one.guard->announce(
            {.facts = facts, .sequence = 1'000'000, .clock = workload::worker_clock{900'000}});
    }
}

void workload_world::announce(unsigned at) {
    auto& one = hosts_[at];
    if (one.guard != nullptr && !one.worker->now.silent) {
        one.guard->announce({.facts = one.worker->facts(),
                             .sequence = ++one.announcements,
                             .clock = one.worker->clock()});
    }
    loop.schedule(announce_interval, [this, at] { announce(at); });
}

bool workload_world::run_until(const std::function<bool()>& holds, duration limit) {
    const auto end = loop.now() + limit;
    while (loop.now() < end) {
        if (holds()) {
            return true;
        }
        loop.run_for(5ms);
    }
    return holds();
}

workload::scheduler_node* workload_world::leader() {
    for (auto& one : schedulers_) {
        if (one.node != nullptr && one.node->leading()) {
            return one.node.get();
        }
    }
    return nullptr;
}

unsigned workload_world::leading_scheduler() {
    unsigned at = 0;
    while (!scheduler_lives(at) || !scheduler(at)->leading()) {
        ++at;
    }
    return at;
}

unsigned workload_world::busy_host() {
    unsigned at = 0;
    while (worker(at).running() == 0) {
        ++at;
    }
    return at;
}

bool workload_world::submit(const workload::job_spec& spec) {
    for (unsigned at = 0; at < schedulers_.size(); ++at) {
        if (scheduler_lives(at)) {
            return submit_at(at, spec);
        }
    }
    return false;
}

bool workload_world::submit_at(unsigned at, const workload::job_spec& spec) {
    submitted_.insert(spec.id);
    auto stamped = spec;
    stamped.submitted = loop.wall_now();
    auto done = std::make_shared<std::optional<bool>>();
    scheduler(at)->submit(stamped, 2500ms, [done](auto receipt) {
        *done = receipt == workload::intake_writer::receipt::stored;
    });
    run_until([&] { return done->has_value(); }, 3s);
    return done->value_or(false);
}

bool workload_world::cancel(const std::string& id) {
    auto done = std::make_shared<std::optional<bool>>();
    for (unsigned at = 0; at < schedulers_.size(); ++at) {
        if (scheduler_lives(at)) {
            scheduler(at)->cancel(job_id{id}, 2500ms, [done](auto receipt) {
                *done = receipt == workload::intake_writer::receipt::stored;
            });
            break;
        }
    }
    run_until([&] { return done->has_value(); }, 3s);
    return done->value_or(false);
}

std::optional<workload::job_phase> workload_world::phase(const std::string& id) {
    for (auto& one : schedulers_) {
        const auto* job = one.node == nullptr ? nullptr : one.node->book().find(job_id{id});
        if (job != nullptr) {
            return workload::job_table::visible_phase(*job);
        }
    }
    return std::nullopt;
}

bool workload_world::completed(const std::string& id) {
    return phase(id) == workload::job_phase::completed;
}

void workload_world::run_began(const workload::task_name& task, workload::run_number run,
                               const workload::worker_instance& where) {
    ++runs_begun;
    ++runs_of[task];
    last_host[task] = where.host;
    first_begin.try_emplace(task, loop.now());
    const auto text = to_text(task) + " run " + std::to_string(run.get());
    if (!running_[task].empty()) {
        violations.push_back(text + " began while another run goes on");
    }
    if (noted_done_.contains(task)) {
        violations.push_back(text + " began after its end was noted as done");
    }
    if (!submitted_.contains(task.step.job)) {
        violations.push_back(text + " began, which nobody submitted");
    }
    running_[task].insert(run);
}

void workload_world::run_over(const workload::task_name& task, workload::run_number run,
                              std::optional<workload::end_kind> /*how*/) {
    running_[task].erase(run);
}

void workload_world::end_noted(const workload::run_end& end) {
    if (end.how == workload::end_kind::done) {
        noted_done_.insert(end.task);
    }
}

void workload_world::overfull(const workload::worker_instance& where) {
    violations.push_back(where.host.get() + " holds more than it has");
}

workload::job_spec job_of(const std::string& id, std::uint32_t tasks,
                          std::uint32_t accelerators_per_task, bool gang) {
    workload::job_spec spec;
    spec.id = job_id{id};
    spec.queue = workload::queue_id{"queue"};
    spec.workspace = workspace_id{"workspace"};
    spec.service = service_id{"service"};
    spec.priority = 1;
    spec.most_attempts = 3;
    spec.slack_factor = 3;
    spec.target_completion = 1s;
    spec.payload = "payload";
    spec.steps.push_back({.tasks = tasks,
                          .per_task = {.cpu = cpu_millicores{1000},
                                       .memory = memory_mib{1000},
                                       .accelerators = accelerator_count{accelerators_per_task}},
                          .estimated = 900ms,
                          .gang = gang});
    return spec;
}

}  // namespace baobabrack::testing
