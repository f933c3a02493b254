// Messages from other schedulers and from guards, and the orders sent to guards.
#include <utility>

#include "baobabrack/workload/report_codec.hpp"
#include "baobabrack/workload/scheduler_node.hpp"
#include "baobabrack/workload/scheduler_node_limits.hpp"

namespace baobabrack::workload {

void scheduler_node::handle_message(const std::string& /*sender*/,
                                    const wire::PeerMessage& message) {
    if (message.kind_case() == wire::PeerMessage::kWorkloadReport) {
        handle_report(message.workload_report());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadPing) {
        pings_.handle(message.workload_ping());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadIntake) {
        intake_writer_.handle(message.workload_intake());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadIntakeReply) {
        intake_writer_.handle(message.workload_intake_reply());
    }
}

void scheduler_node::handle_report(const wire::WorkloadReport& message) {
    deps_.network.connect(message.host(), message.zmq_endpoint());
    if (!is_leader()) {
        redirect_guard(message);
        return;
    }
    const auto* report = sessions_.accept_report(message, deps_.loop.now());
    if (report == nullptr) {
        return;
    }
    guards_.record_contact(message.host(), message.zmq_endpoint(), deps_.loop.now());
    const bool may_extend =
        !message.worker().id().empty() && scheduler_->handle_report(*report, deps_.loop.now());
    sessions_.set_lease_extendable(host_id{message.host()}, may_extend);
    replies_due_.insert(host_id{message.host()});
    schedule_decision();
}

void scheduler_node::redirect_guard(const wire::WorkloadReport& message) {
    if (!leader_id_.empty() && leader_id_ != options_.id && !leader_resigned_) {
        send_redirect(message.host());
    }
}

void scheduler_node::send_redirect(const std::string& guard) {
    wire::PeerMessage out;
    auto& redirect = *out.mutable_workload_redirect();
    redirect.set_leader(leader_id_);
    redirect.set_zmq_endpoint(leader_endpoint_);
    redirect.set_term(is_leader() ? term_.get() : leader_term_);
    deps_.network.send(guard, out);
}

void scheduler_node::send_orders(const host_id& host) {
    const auto* report = sessions_.find(host);
    if (report == nullptr || !is_leader()) {
        return;
    }
    wire::PeerMessage out;
    auto& orders = *out.mutable_workload_orders();
    sessions_.fill_header(host, orders);
    orders.set_scheduler(options_.id);
    orders.set_zmq_endpoint(options_.zmq_endpoint);
    const bool may_grant = leadership_confirmed() && sessions_.is_lease_extendable(host);
    const auto lease = may_grant ? options_.scheduling.lease : duration::zero();
    orders.set_granted_ms(static_cast<std::uint64_t>(to_ms(lease)));
    add_evacuations(host, orders);
    auto content = scheduler_->orders_for(*report);
    if (!evacuations_recent()) {
        // Orders that answer later reports contain the starts again.
        content.starts.clear();
    }
    to_wire(content, orders);
    deps_.network.send(host.get(), out);
}

// Counts from the guard's latest report, whose time of sending the guard knows by its own clock.
// The report was sent before it arrived, so what the guard derives is not newer than the
// information.
void scheduler_node::add_evacuations(const host_id& host, wire::WorkloadOrders& orders) const {
    auto& evacuations = *orders.mutable_evacuations();
    for (const auto& zone : deps_.config.evacuated()) {
        evacuations.add_data_centres(zone.get());
    }
    if (const auto confirmed = deps_.config.confirmed()) {
        evacuations.set_confirmed(true);
        const auto age =
            std::chrono::floor<std::chrono::milliseconds>(*confirmed - sessions_.last_heard(host));
        evacuations.set_confirmed_ms(age.count());
    }
}

}  // namespace baobabrack::workload
