#include <algorithm>
#include <utility>

#include "runner/gangs_world.hpp"

namespace baobabrack::scenario {

void gangs_world::fail_worker() {
    const auto id = pick_worker();
    workers_.kill(id);
    loop_.schedule(pick_span(std::chrono::seconds{1}, std::chrono::seconds{90}),
                   [this, id] { workers_.replace(id); });
}

void gangs_world::fail_rack() {
    const auto rack = pick(worker_count / workers_per_rack);
    for (std::uint64_t i = 0; i < workers_per_rack; ++i) {
        const worker_id id{"w" + std::to_string(rack * workers_per_rack + i)};
        workers_.kill(id);
        loop_.schedule(pick_span(std::chrono::seconds{20}, std::chrono::seconds{60}),
                       [this, id] { workers_.replace(id); });
    }
}

void gangs_world::pause_worker() {
    workers_.pause(pick_worker(),
                   pick_span(std::chrono::milliseconds{100}, std::chrono::seconds{60}));
}

void gangs_world::remove_worker() {
    const auto id = pick_worker();
    workers_.forget(id);
    loop_.schedule(pick_span(std::chrono::seconds{5}, std::chrono::seconds{90}),
                   [this, id] { workers_.replace(id); });
}

void gangs_world::break_worker() {
    const auto id = pick_worker();
    if (auto* one = workers_.find(id)) {
        one->set_fail_all_tasks(true);
    }
    loop_.schedule(pick_span(std::chrono::seconds{5}, std::chrono::seconds{60}), [this, id] {
        if (auto* one = workers_.find(id)) {
            one->set_fail_all_tasks(false);
        }
    });
}

void gangs_world::disturb_for(duration span, std::function<void()> mend) {
    ++disturbances_;
    oracle_.set_disturbed();
    loop_.schedule(span, [this, mend = std::move(mend)] {
        mend();
        if (--disturbances_ == 0) {
            oracle_.set_calm_since(loop_.now());
        }
    });
}

void gangs_world::cut_link() {
    const auto id = pick_worker();
    const auto caller = pick(3) == 0 ? std::string{} : pick_slot().id.get();
    workers_.set_partitioned(caller, id, true);
    disturb_for(pick_span(std::chrono::seconds{1}, std::chrono::seconds{120}),
                [this, caller, id] { workers_.set_partitioned(caller, id, false); });
}

void gangs_world::lose_messages() {
    workers_.set_loss_rates(static_cast<std::uint32_t>(pick(200)),
                            static_cast<std::uint32_t>(pick(200)));
    disturb_for(pick_span(std::chrono::seconds{1}, std::chrono::seconds{30}),
                [this] { workers_.set_loss_rates(0, 0); });
}

void gangs_world::kill_entry() {
    auto& one = pick_slot();
    if (!one.process) {
        return;
    }
    one.process.reset();
    disturb_for(pick_span(std::chrono::milliseconds{500}, std::chrono::seconds{40}),
                [this, &one] { start(one); });
}

void gangs_world::pause_entry() {
    auto& one = pick_slot();
    if (!one.process || one.process->clock.paused()) {
        return;
    }
    one.process->clock.pause();
    disturb_for(pick_span(std::chrono::milliseconds{200}, std::chrono::seconds{60}),
                [&one, version = one.version] {
                    if (one.process && one.version == version) {
                        one.process->clock.resume();
                    }
                });
}

void gangs_world::isolate_entry() {
    auto& one = pick_slot();
    if (!one.process || one.process->duty.cut()) {
        return;
    }
    one.process->log.set_cut(true);
    one.process->duty.set_cut(true);
    disturb_for(pick_span(std::chrono::seconds{1}, std::chrono::minutes{4}),
                [&one, version = one.version] {
                    if (one.process && one.version == version) {
                        one.process->log.set_cut(false);
                        one.process->duty.set_cut(false);
                    }
                });
}

/// One entry and a rack can reach only each other.
void gangs_world::split_region() {
    auto& one = pick_slot();
    if (!one.process || one.process->duty.cut()) {
        return;
    }
    const auto rack = pick(worker_count / workers_per_rack);
    const auto set_cut = [this, &one, rack](bool cut) {
        for (const auto& other : slots_) {
            for (std::uint64_t i = 0; i < workers_per_rack; ++i) {
                const worker_id id{"w" + std::to_string(rack * workers_per_rack + i)};
                if (other.id != one.id) {
                    workers_.set_partitioned(other.id.get(), id, cut);
                }
            }
        }
    };
    set_cut(true);
    one.process->log.set_cut(true);
    one.process->duty.set_cut(true);
    disturb_for(pick_span(std::chrono::seconds{1}, std::chrono::minutes{5}),
                [set_cut, &one, version = one.version] {
                    set_cut(false);
                    if (one.process && one.version == version) {
                        one.process->log.set_cut(false);
                        one.process->duty.set_cut(false);
                    }
                });
}

void gangs_world::stop_log() {
    log_.set_down(true);
    disturb_for(pick_span(std::chrono::milliseconds{100}, std::chrono::seconds{60}),
                [this] { log_.set_down(false); });
}

void gangs_world::slow_log() {
    log_.set_extra_delay(pick_span(std::chrono::milliseconds{1}, std::chrono::milliseconds{900}));
    log_.lose_append_answers(pick(4));
    disturb_for(pick_span(std::chrono::seconds{1}, std::chrono::seconds{20}),
                [this] { log_.set_extra_delay(duration::zero()); });
}

}  // namespace baobabrack::scenario
