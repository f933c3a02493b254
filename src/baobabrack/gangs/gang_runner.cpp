#include "baobabrack/gangs/gang_runner.hpp"

#include <utility>

#include "baobabrack/gangs/gang_launch.hpp"
#include "baobabrack/gangs/gang_records.hpp"
#include "baobabrack/gangs/gang_stop.hpp"
#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/gangs/responsibility.hpp"
#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

namespace {

constexpr duration tick_interval = std::chrono::seconds{1};
constexpr duration foreign_release_wait = std::chrono::seconds{3};

metric_labels reason_label(std::string_view reason) {
    return {{.name = "reason", .value = std::string{reason}}};
}

}  // namespace

gang_runner::gang_runner(const gang_context& context)
    : context_(context),
      proposals_(context_),
      feed_(context.state, context.planning, context.loop),
      monitor_(context_, reports_, proposals_, *this),
      inventory_(context_, proposals_),
      executor_(context_, proposals_,
                [this](const worker_id& worker, const wire::WorkerReply& reply) {
                    monitor_.hear(worker, reply);
                }),
      tick_timer_(context.loop),
      take_over_timer_(context.loop),
      alive_(std::make_shared<int>()) {
    context_.state.listen(static_cast<job_listener&>(*this));
    note_jobs();
    tick_timer_.arm(tick_interval, [this] { tick(); });
    executor_.plan_soon();
}

gang_runner::~gang_runner() {
    context_.state.forget(static_cast<job_listener&>(*this));
}

void gang_runner::submit(const wire::JobSpec& spec, duration patience, record_callback done) {
    context_.records.propose(submitted_record(spec), patience, std::move(done));
}

void gang_runner::cancel(const job_id& id, const std::string& reason, duration patience,
                         record_callback done) {
    const auto record = cancel_record(id, reason);
    executor_.abandon(id);
    context_.records.propose(
        record, patience,
        [this, alive = std::weak_ptr<int>{alive_}, id, record,
         done = std::move(done)](const result<record_position>& applied) {
            const bool undecided = !applied && (applied.error().kind == failure_kind::unavailable ||
                                                applied.error().kind == failure_kind::timed_out);
            if (undecided && !alive.expired()) {
                cancel_without_log(id, record);
            }
            done(applied);
        });
}

void gang_runner::cancel_without_log(const job_id& id, const wire::Record& record) {
    proposals_.cancel(id, record);
    const auto* known = context_.state.find(id);
    if (known != nullptr && known->phase == job_phase::committed) {
        begin_stop(*known);
    }
}

std::optional<job_view> gang_runner::describe(const job_id& id) const {
    const auto* known = context_.state.find(id);
    if (known == nullptr) {
        return std::nullopt;
    }
    job_view view{.details = *known};
    if (known->phase == job_phase::queued) {
        view.wait = context_.planning.explain(id, context_.loop.now());
    }
    for (const auto& member : known->members) {
        const auto* report = reports_.find(member.worker, id, known->attempt);
        view.members.push_back(
            {.worker = member.worker,
             .count = member.count,
             .phase = report == nullptr ? "unknown" : std::string{to_string(report->phase)}});
    }
    view.progress = std::max(known->checkpoint, reports_.progress(*known));
    view.status = status_of(*known);
    return view;
}

std::string gang_runner::status_of(const job& target) const {
    if (executor_.is_starting(target.id)) {
        return "its workers are being prepared";
    }
    if (launches_.count(target.id) != 0) {
        return "its tasks are being started";
    }
    const auto stop = stops_.find(target.id);
    if (stop == stops_.end()) {
        return std::string{to_string(target.phase)};
    }
    std::string waiting = "its members are being stopped";
    for (const auto& worker : stop->second->unproven()) {
        waiting += "; waits for worker \"" + worker.get() + '"';
    }
    return waiting;
}

void gang_runner::directory_changed() {
    context_.planning.directory_changed();
    executor_.plan_soon();
}

void gang_runner::tick() {
    tick_timer_.arm(tick_interval, [this] { tick(); });
    take_over();
    executor_.plan_now();
}

void gang_runner::job_queued(const job& /*queued*/) {
    executor_.plan_soon();
}

void gang_runner::gang_committed(const job& committed) {
    executor_.committed(committed);
    committed_[committed.id] = context_.loop.now();
    // Without its proposer, the monitors start what they find prepared.
    if (executor_.is_starting(committed.id)) {
        launch(committed);
    }
}

void gang_runner::gang_stopping(const job& stopping) {
    launches_.erase(stopping.id);
    stopping_.insert(stopping.id);
    take_over_soon();
}

void gang_runner::gang_released(const job& ended, const std::vector<job_member>& /*members*/,
                                wire::StopReason reason) {
    context_.metrics
        .get_counter(
            "baobabrack_gang_ends_total", "Attempts that ended, by reason",
            reason_label(reason == wire::STOP_REASON_UNSPECIFIED ? "finished"
                                                                 : baobabrack::to_string(reason)))
        .add();
    forget(ended.id);
    executor_.plan_soon();
}

void gang_runner::job_ended(const job& ended) {
    forget(ended.id);
    executor_.ended(ended.id);
    executor_.plan_soon();
}

void gang_runner::forget(const job_id& id) {
    launches_.erase(id);
    stops_.erase(id);
    executor_.released(id);
    culprits_.erase(id);
    reports_.forget(id);
    committed_.erase(id);
    stopping_.erase(id);
}

void gang_runner::state_loaded() {
    executor_.reset();
    launches_.clear();
    stops_.clear();
    committed_.clear();
    stopping_.clear();
    note_jobs();
    executor_.plan_soon();
}

void gang_runner::launch(const job& committed) {
    const auto id = committed.id;
    const auto attempt = committed.attempt;
    auto begun = std::make_shared<gang_launch>(
        context_, committed,
        [this, id, attempt](const worker_id& worker) { reports_.started(worker, id, attempt); },
        [this, id, attempt](const worker_id& culprit) { on_launched(id, attempt, culprit); });
    launches_[id] = begun;
    begun->begin();
}

void gang_runner::on_launched(const job_id& id, attempt_number attempt, const worker_id& culprit) {
    launches_.erase(id);
    const auto* target = context_.state.find(id);
    if (culprit.get().empty() || target == nullptr || target->attempt != attempt ||
        target->phase != job_phase::committed) {
        return;
    }
    culprits_[id] = culprit;
    stop_gang(*target, wire::STOP_START_FAILED);
}

void gang_runner::stop_gang(const job& gang, wire::StopReason reason) {
    if (gang.phase != job_phase::committed || is_stopping(gang.id, gang.attempt)) {
        return;
    }
    proposals_.stop(gang.id, gang.attempt, reason);
    begin_stop(gang);
}

bool gang_runner::is_stopping(const job_id& id, attempt_number attempt) const {
    const auto found = stops_.find(id);
    return found != stops_.end() && found->second->attempt() == attempt;
}

void gang_runner::begin_stop(const job& target) {
    const auto id = target.id;
    const auto attempt = target.attempt;
    auto begun = std::make_shared<gang_stop>(
        context_, target,
        gang_stop::callbacks{
            .on_reply = [this](const worker_id& worker,
                               const wire::WorkerReply& reply) { monitor_.hear(worker, reply); },
            .gone = [this](const worker_id& worker) { return inventory_.is_gone(worker); },
            .on_stopped = [this, id, attempt] { on_stopped(id, attempt); }});
    stops_[id] = begun;
    begun->begin();
}

void gang_runner::on_stopped(const job_id& id, attempt_number attempt) {
    if (context_.duty.is_mine(id)) {
        record_stopped(id, attempt);
        return;
    }
    // The entry that acts for the job has the first word, so that one record is enough.
    context_.loop.schedule(foreign_release_wait,
                           [this, alive = std::weak_ptr<int>{alive_}, id, attempt] {
                               if (!alive.expired()) {
                                   record_stopped(id, attempt);
                               }
                           });
}

void gang_runner::record_stopped(const job_id& id, attempt_number attempt) {
    const auto* target = context_.state.find(id);
    if (target == nullptr || target->attempt != attempt || target->phase != job_phase::stopping) {
        return;
    }
    if (reports_.all_finished(*target)) {
        gang_finished(*target);
    } else {
        proposals_.release(*target, reports_.saved(*target), find_culprit(*target));
    }
}

worker_id gang_runner::find_culprit(const job& target) const {
    for (const auto& member : target.members) {
        const auto* report = reports_.find(member.worker, target.id, target.attempt);
        if (report != nullptr && report->phase == wire::TASK_FAILED) {
            return member.worker;
        }
    }
    const auto known = culprits_.find(target.id);
    return known == culprits_.end() ? worker_id{} : known->second;
}

void gang_runner::gang_finished(const job& gang) {
    proposals_.finish(gang);
}

void gang_runner::note_jobs() {
    for (const auto& [id, one] : context_.state.jobs()) {
        if (one.phase == job_phase::committed) {
            committed_[id] = context_.loop.now();
        } else if (one.phase == job_phase::stopping) {
            stopping_.insert(id);
        }
    }
}

void gang_runner::take_over_soon() {
    if (!take_over_timer_.armed()) {
        take_over_timer_.arm(duration::zero(), [this] { take_over(); });
    }
}

void gang_runner::take_over() {
    if (!context_.may_act()) {
        return;
    }
    for (const auto& id : stopping_) {
        const auto running = stops_.find(id);
        if (running != stops_.end()) {
            running->second->look();
        } else if (context_.duty.is_mine(id)) {
            begin_stop(*context_.state.find(id));
        }
    }
}

duration gang_runner::committed_for(const job& gang) const {
    const auto found = committed_.find(gang.id);
    return found == committed_.end() ? duration::zero() : context_.loop.now() - found->second;
}

}  // namespace baobabrack
