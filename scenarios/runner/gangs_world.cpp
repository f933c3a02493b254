#include "runner/gangs_world.hpp"

#include <algorithm>

namespace baobabrack::scenario {

namespace {

constexpr std::uint32_t entry_count = 3;
constexpr std::uint32_t accelerators_per_worker = 8;
constexpr duration beat_interval = std::chrono::milliseconds{500};
constexpr duration inventory_interval = std::chrono::seconds{2};
constexpr duration patience = std::chrono::seconds{2};
constexpr duration settle_limit = std::chrono::hours{2};

resources accelerators(std::uint32_t count) {
    return {.cpu = cpu_millicores{count * 1000},
            .memory = memory_mib{count * 1024},
            .accelerators = accelerator_count{count}};
}

gangs_lie lie_of(const std::string& mutation) {
    if (mutation == "stop_not_sent") {
        return gangs_lie::stop_not_sent;
    }
    if (mutation == "false_finish") {
        return gangs_lie::false_finish;
    }
    if (mutation == "hidden_loss") {
        return gangs_lie::hidden_loss;
    }
    if (mutation == "false_all_past") {
        return gangs_lie::false_all_past;
    }
    if (mutation == "false_confirmed") {
        return gangs_lie::false_confirmed;
    }
    return gangs_lie::none;
}

}  // namespace

gangs_world::gangs_world(std::uint64_t seed, const std::string& mutation)
    : mutation_(mutation),
      loop_(seed),
      options_(options_for(mutation)),
      log_(loop_, {}),
      workers_(loop_, worker_options(mutation)),
      oracle_(loop_, workers_, options_) {
    log_.on_append([this](log_offset, const std::string& payload) { oracle_.append(payload); });
    workers_.add_many(worker_count, workers_per_rack, accelerators(accelerators_per_worker));
    for (std::uint32_t i = 0; i < entry_count; ++i) {
        board_.members.emplace_back("e" + std::to_string(i));
        slots_.push_back({.id = board_.members.back()});
    }
    for (auto& one : slots_) {
        start(one);
    }
    beat();
    tell_inventory();
    run(std::chrono::seconds{5});
}

fakes::fake_workers::options gangs_world::worker_options(const std::string& mutation) {
    fakes::fake_workers::options options;
    // The protocol alone must keep workers from running more than they have.
    options.worker.ignore_capacity = true;
    options.worker.ignore_leases = mutation == "ignored_leases";
    return options;
}

gang_options gangs_world::options_for(const std::string& mutation) {
    gang_options options;
    options.renewal_limit = std::chrono::minutes{2};
    if (mutation == "early_release") {
        options.delivery_limit = -2 * options.task_lease;
    }
    return options;
}

void gangs_world::step() {
    const auto dice = pick(100);
    if (dice < 40) {
        do_work(dice);
    } else if (dice < 50) {
        ++faults_;
        do_fault(dice - 40);
    } else if (dice < 54) {
        ++faults_;
        do_fault(pick(14));
    }
    run(pick_span(std::chrono::milliseconds{1}, std::chrono::milliseconds{1500}));
}

void gangs_world::do_work(std::uint64_t dice) {
    if (dice < 26) {
        submit(1 + pick(2));
    } else if (dice < 27) {
        submit(20);
    } else if (dice < 33) {
        cancel(1);
    } else if (dice < 34) {
        cancel(10);
    } else {
        preempt();
    }
}

void gangs_world::do_fault(std::uint64_t dice) {
    switch (dice) {
        case 0:
            return fail_worker();
        case 1:
        case 2:
            return pause_worker();
        case 3:
            return remove_worker();
        case 4:
            return break_worker();
        case 5:
            return cut_link();
        case 6:
            return lose_messages();
        case 7:
            return kill_entry();
        case 8:
            return pause_entry();
        case 9:
            return stop_log();
        case 10:
            return isolate_entry();
        case 11:
            return slow_log();
        case 12:
            return split_region();
        default:
            return fail_rack();
    }
}

void gangs_world::settle() {
    workers_.set_loss_rates(0, 0);
    run(std::chrono::minutes{5});
    for (const auto& [id, one] : workers_.alive()) {
        one->set_fail_all_tasks(false);
    }
    const auto end = loop_.now() + settle_limit;
    while (loop_.now() < end && oracle_.state().live() > 0 && violation().empty()) {
        run(std::chrono::seconds{10});
    }
    for (const auto& [id, one] : oracle_.state().jobs()) {
        const auto view = slots_.front().process->runner.describe(id);
        const bool waits = view && view->wait && !view->wait->waits_for.empty();
        if (!is_ended(one.phase) && !waits) {
            oracle_.fail("job " + id.get() + " neither ends nor says what it waits for: " +
                         std::string{to_string(one.phase)});
        }
    }
    for (const auto& one : slots_) {
        if (one.process->reader.digest() != slots_.front().process->reader.digest()) {
            oracle_.fail("replicas differ");
        }
    }
}

void gangs_world::run(duration span) {
    const auto end = loop_.now() + span;
    bool reached = false;
    loop_.schedule(span, [&reached] { reached = true; });
    while (!reached && violation().empty() && loop_.step()) {
        oracle_.check();
    }
    oracle_.check_resources(oracle_.state(), "the log");
    for (const auto& one : slots_) {
        if (one.process) {
            oracle_.check_resources(one.process->state, one.id.get());
        }
    }
    // A violation ends the run before its time.
    if (!reached) {
        loop_.run_until(end);
    }
}

void gangs_world::beat() {
    for (const auto& one : slots_) {
        if (one.process && !one.process->clock.paused() && !one.process->duty.cut()) {
            board_.beats[one.id] = {.at = loop_.now(), .next = one.process->reader.next_offset()};
        }
    }
    loop_.schedule(beat_interval, [this] { beat(); });
}

void gangs_world::tell_inventory() {
    for (const auto& one : slots_) {
        if (one.process && !one.process->clock.paused() && !one.process->duty.cut()) {
            one.process->runner.inventory_heard(workers_.list());
        }
    }
    loop_.schedule(inventory_interval, [this] { tell_inventory(); });
}

void gangs_world::start(slot& into) {
    into.process = std::make_unique<gangs_process>(loop_, log_, workers_, board_, into.id,
                                                   ++into.version, options_);
    into.process->set_lie(lie_of(mutation_));
}

gangs_world::slot& gangs_world::pick_slot() {
    return slots_[pick(slots_.size())];
}

worker_id gangs_world::pick_worker() {
    return worker_id{"w" + std::to_string(pick(worker_count))};
}

duration gangs_world::pick_span(duration least, duration most) {
    return least + duration{pick(static_cast<std::uint64_t>((most - least).count()) + 1)};
}

gangs_process* gangs_world::pick_live() {
    auto& one = pick_slot();
    return one.process && !one.process->clock.paused() ? one.process.get() : nullptr;
}

void gangs_world::submit(std::uint64_t count) {
    auto* through = pick_live();
    for (std::uint64_t i = 0; through != nullptr && i < count; ++i) {
        wire::JobSpec spec;
        spec.set_id("j" + std::to_string(next_job_++));
        spec.set_workspace("felt");
        spec.mutable_shape()->set_members(1 + static_cast<std::uint32_t>(pick(6)));
        *spec.mutable_shape()->mutable_per_member() =
            to_wire(accelerators(1 + static_cast<std::uint32_t>(pick(5))));
        spec.set_checkpointable(pick(2) == 0);
        spec.set_max_attempts(3);
        const auto longest = pick(8) == 0 ? 400'000 : 60'000;
        spec.set_command("run_ms=" + std::to_string(500 + pick(longest)) +
                         (pick(10) == 0 ? ";fail_at_ms=300" : ""));
        jobs_.push_back(spec.id());
        through->runner.submit(spec, patience, [](const result<record_position>&) {});
    }
}

void gangs_world::cancel(std::uint64_t count) {
    auto* through = pick_live();
    for (std::uint64_t i = 0; through != nullptr && !jobs_.empty() && i < count; ++i) {
        const auto recent = std::min<std::uint64_t>(jobs_.size(), 30);
        const job_id id{jobs_[jobs_.size() - 1 - pick(recent)]};
        through->runner.cancel(id, "not wanted", patience, [](const result<record_position>&) {});
    }
}

void gangs_world::preempt() {
    for (const auto& [id, one] : oracle_.state().jobs()) {
        if (one.phase != job_phase::committed || pick(3) != 0) {
            continue;
        }
        for (const auto& one_slot : slots_) {
            if (one_slot.process) {
                one_slot.process->planning.stop(id);
            }
        }
        return;
    }
}

std::vector<std::string> gangs_world::coverage() const {
    std::vector<std::string> lines{
        "jobs " + std::to_string(next_job_ - 1),
        "faults " + std::to_string(faults_),
        "commits " + std::to_string(oracle_.commits),
        "releases " + std::to_string(oracle_.releases),
        "ends " + std::to_string(oracle_.ends),
    };
    for (const auto& [reason, count] : oracle_.stops) {
        lines.push_back(std::string{to_string(reason)} + ' ' + std::to_string(count));
    }
    const auto longest =
        std::chrono::duration_cast<std::chrono::milliseconds>(oracle_.longest_partial);
    lines.push_back("longest partial run " + std::to_string(longest.count()) + " ms");
    return lines;
}

}  // namespace baobabrack::scenario
