#include "runner/gangs_process.hpp"

#include "baobabrack/membership/rendezvous.hpp"

namespace baobabrack::scenario {

namespace {

constexpr duration peer_silence = std::chrono::seconds{3};

failure cut_off() {
    return {failure_kind::unavailable, "the log cannot be reached", "wait until it can"};
}

}  // namespace

timer_id gated_loop::schedule(duration delay, std::function<void()> action) {
    const auto id = keep(*gate_, std::move(action));
    loop_.schedule(delay, [through = gate_, id] { pass(*through, id); });
    return timer_id{id};
}

void gated_loop::cancel(timer_id timer) {
    gate_->actions.erase(static_cast<std::uint64_t>(timer));
}

std::function<void(std::function<void()>)> gated_loop::passage() {
    return [weak = std::weak_ptr<gate>{gate_}](std::function<void()> action) {
        if (const auto through = weak.lock(); through && !through->dead) {
            pass(*through, keep(*through, std::move(action)));
        }
    };
}

void gated_loop::resume() {
    gate_->paused = false;
    const auto due = std::exchange(gate_->due, {});
    for (const auto id : due) {
        pass(*gate_, id);
    }
}

std::uint64_t gated_loop::keep(gate& through, std::function<void()> action) {
    through.actions.emplace(through.next, std::move(action));
    return through.next++;
}

void gated_loop::pass(gate& through, std::uint64_t id) {
    if (through.paused) {
        through.due.push_back(id);
        return;
    }
    if (auto found = through.actions.extract(id)) {
        found.mapped()();
    }
}

void gated_log::append(std::string payload, append_callback done) {
    if (cut_) {
        loop_.schedule(std::chrono::milliseconds{1}, [done] { done(cut_off()); });
        return;
    }
    log_.append(std::move(payload),
                [run = loop_.passage(), done = std::move(done)](const result<log_offset>& answer) {
                    run([done, answer] { done(answer); });
                });
}

void gated_log::read(log_offset from, std::size_t most, read_callback done) {
    if (cut_) {
        loop_.schedule(std::chrono::milliseconds{1}, [done] { done(cut_off()); });
        return;
    }
    log_.read(
        from, most,
        [this, run = loop_.passage(), done = std::move(done)](const result<log_page>& answer) {
            run([this, done, answer] {
                if (cut_) {
                    done(cut_off());
                } else {
                    done(answer);
                }
            });
        });
}

void gated_workers::call(const worker_id& worker, const wire::WorkerCall& call,
                         reply_callback done) {
    if (lie_ == gangs_lie::stop_not_sent && call.has_stop()) {
        loop_.schedule(std::chrono::milliseconds{1}, [done] {
            wire::WorkerReply reply;
            reply.set_status(wire::WORKER_OK);
            done(reply);
        });
        return;
    }
    workers_.call_from(caller_, worker, call,
                       [run = loop_.passage(), lie = lie_, call,
                        done = std::move(done)](result<wire::WorkerReply> reply) {
                           if (lie == gangs_lie::hidden_loss) {
                               hide_loss(call, reply);
                           }
                           if (lie == gangs_lie::false_finish && reply) {
                               falsify(reply.value());
                           }
                           run([done, reply] { done(reply); });
                       });
}

void gated_workers::hide_loss(const wire::WorkerCall& call, result<wire::WorkerReply>& reply) {
    if (!call.has_sync()) {
        return;
    }
    wire::WorkerReply forged;
    forged.set_status(wire::WORKER_OK);
    for (const auto& renewal : call.sync().renewals()) {
        *forged.add_held() = renewal.task();
    }
    for (int i = 0; reply && i < reply.value().reports_size(); ++i) {
        const auto& report = reply.value().reports(i);
        if (report.phase() <= wire::TASK_FINISHED) {
            *forged.add_reports() = report;
        }
    }
    reply = forged;
}

void gated_workers::falsify(wire::WorkerReply& reply) {
    for (auto& report : *reply.mutable_reports()) {
        if (report.phase() == wire::TASK_RUNNING) {
            report.set_phase(wire::TASK_FINISHED);
        }
    }
}

bool gangs_duty::is_mine(const job_id& job) const {
    return picks_me(job.get());
}

bool gangs_duty::is_mine(const worker_id& worker) const {
    return picks_me(worker.get());
}

bool gangs_duty::all_past(log_offset offset) const {
    if (lie_ == gangs_lie::false_all_past) {
        return true;
    }
    for (const auto& peer : board_.members) {
        if (!hears(peer) || board_.beats.at(peer).next <= offset) {
            return false;
        }
    }
    return true;
}

duration gangs_duty::unconfirmed() const {
    if (lie_ == gangs_lie::false_confirmed) {
        return duration::zero();
    }
    return owner_.reader.ready() ? owner_.reader.since_last_read() : duration::max();
}

bool gangs_duty::hears(const entry_id& peer) const {
    const auto found = board_.beats.find(peer);
    if (found == board_.beats.end() || (cut_ && peer != owner_.id)) {
        return false;
    }
    return owner_.clock.now() - found->second.at < peer_silence;
}

bool gangs_duty::picks_me(const std::string& key) const {
    std::vector<entry_id> alive{owner_.id};
    for (const auto& peer : board_.members) {
        if (peer != owner_.id && hears(peer)) {
            alive.push_back(peer);
        }
    }
    return rendezvous_pick(key, alive) == owner_.id;
}

gangs_process::gangs_process(runtime& loop, log_service& platform_log,
                             fakes::fake_workers& all_workers, heartbeat_board& board,
                             const entry_id& name, std::uint64_t version,
                             const gang_options& options)
    : id(name),
      clock(loop),
      log(clock, platform_log),
      workers(clock, all_workers, name.get()),
      reader(clock, log, {}, {&state}),
      writer(clock, log, reader, {.writer = name, .version = incarnation{version}}),
      planning(state.workers()),
      duty(*this, board),
      runner({.state = state,
              .planning = planning,
              .workers = workers,
              .records = writer,
              .loop = clock,
              .duty = duty,
              .metrics = metrics,
              .options = options}) {
    reader.start();
}

void gangs_process::set_lie(gangs_lie lie) {
    workers.set_lie(lie);
    duty.set_lie(lie);
}

}  // namespace baobabrack::scenario
