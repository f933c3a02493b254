#include "baobabrack/entry/views.hpp"
#include "baobabrack/gangs/job_view.hpp"
#include "baobabrack/node/entry_node.hpp"

namespace baobabrack {

namespace {

void put_members(wire::JobView& view, const job& shown) {
    for (const auto& member : shown.members) {
        auto& added = *view.add_members();
        added.set_worker(member.worker.get());
        added.set_count(member.count);
    }
}

/// Shows the state of a job, without the reason why it waits.
wire::JobView view_state(const job& shown) {
    wire::JobView view;
    *view.mutable_spec() = shown.spec;
    view.set_phase(std::string(to_string(shown.phase)));
    view.set_attempt(shown.attempt.get());
    put_members(view, shown);
    view.set_submitted_at_ms(shown.submitted.time_since_epoch().count());
    view.set_checkpoint_ms(static_cast<std::uint64_t>(shown.checkpoint.count()));
    view.set_message(shown.message);
    return view;
}

/// @return how many accelerators the job occupies; zero while it has no members
std::uint32_t accelerators_of(const job& shown) {
    const auto& shape = shown.spec.shape();
    return shown.members.empty() ? 0 : shape.members() * shape.per_member().accelerators();
}

}  // namespace

wire::JobView view_job(const job_view& seen) {
    auto view = view_state(seen.details);
    if (view.message().empty()) {
        view.set_message(seen.status);
    }
    if (seen.wait) {
        view.set_position(seen.wait->position);
        view.set_waits_for(seen.wait->waits_for);
        view.set_remedy(seen.wait->remedy);
    }
    return view;
}

wire::JobList view_jobs(const entry_node& node, const workspace_id& only) {
    wire::JobList list;
    for (const auto& [id, shown] : node.jobs().jobs()) {
        if (only.get().empty() || shown.spec.workspace() == only.get()) {
            *list.add_items() = view_state(shown);
        }
    }
    return list;
}

wire::WorkspaceList view_workspaces(const entry_node& node) {
    wire::WorkspaceList list;
    std::map<std::string, wire::WorkspaceView*> by_id;
    for (const auto& [id, kept] : node.tickets().in_force().workspaces()) {
        if (kept.object.removed()) {
            continue;
        }
        auto& view = *list.add_items();
        *view.mutable_workspace() = kept.object;
        view.set_ticket(kept.ticket.get());
        by_id[id] = &view;
    }
    for (const auto& [id, shown] : node.jobs().jobs()) {
        const auto found = by_id.find(shown.spec.workspace());
        if (found == by_id.end()) {
            continue;
        }
        auto& view = *found->second;
        view.set_accelerators_in_use(view.accelerators_in_use() + accelerators_of(shown));
        view.set_jobs_running(view.jobs_running() + (shown.members.empty() ? 0 : 1));
        view.set_jobs_waiting(view.jobs_waiting() + (shown.phase == job_phase::queued ? 1 : 0));
    }
    return list;
}

wire::WorkerViewList view_workers(const entry_node& node) {
    wire::WorkerViewList list;
    for (const auto& [id, shown] : node.jobs().workers().workers()) {
        auto& view = *list.add_items();
        view.set_id(id.get());
        view.set_incarnation(shown.version.get());
        view.mutable_location()->set_region(shown.place.region.get());
        view.mutable_location()->set_data_centre(shown.place.data_centre.get());
        view.mutable_location()->set_rack(shown.place.rack.get());
        *view.mutable_capacity() = to_wire(shown.capacity);
        *view.mutable_free() = to_wire(shown.free);
        for (const auto& job : node.jobs().holders(id)) {
            view.add_jobs(job.get());
        }
    }
    return list;
}

}  // namespace baobabrack
