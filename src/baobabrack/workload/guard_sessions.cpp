#include "baobabrack/workload/guard_sessions.hpp"

#include <algorithm>

#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/report_codec.hpp"

namespace baobabrack::workload {

namespace {

// A guard that lives reports twice a second.
constexpr duration process_silence = std::chrono::milliseconds{1200};
// Fencing tokens: the term, then the guard's session under it, then the guard's own count.
constexpr unsigned term_shift = 24;
constexpr unsigned session_shift = 12;

}  // namespace

void guard_sessions::begin_term(std::uint64_t term) {
    sessions_.clear();
    term_ = term;
    opened_ = 0;
}

bool guard_sessions::is_new_process(const session& known, std::uint64_t incarnation,
                                    time_point now) const {
    if (incarnation == known.guard_incarnation) {
        return false;
    }
    return incarnation > known.guard_incarnation || now - known.heard > process_silence;
}

const worker_report* guard_sessions::accept_report(const wire::WorkloadReport& message,
                                                   time_point now) {
    auto& one = sessions_[host_id{message.host()}];
    if (is_new_process(one, message.guard_incarnation(), now)) {
        one = {};
        one.guard_incarnation = message.guard_incarnation();
        one.token_base = (term_ << term_shift) + (++opened_ << session_shift);
        log_event(log_level::info, "guard-joined")
            .field("host", message.host())
            .field("worker", message.worker().id())
            .field("token_base", one.token_base);
    }
    const bool same_process = message.guard_incarnation() == one.guard_incarnation;
    if (!same_process || message.sequence() <= one.last_sequence) {
        return nullptr;
    }
    one.last_sequence = message.sequence();
    one.report_sent_at_us = message.sent_at_us();
    one.heard = now;
    one.report = from_wire(message);
    // What a guard knew under an earlier leader may be of runs that it was told about since.
    one.report.lists_known = message.lists_known() && message.term() == term_;
    return &one.report;
}

const worker_report* guard_sessions::find(const host_id& host) const {
    const auto found = sessions_.find(host);
    return found == sessions_.end() ? nullptr : &found->second.report;
}

void guard_sessions::fill_header(const host_id& host, wire::WorkloadOrders& orders) {
    auto& one = sessions_.at(host);
    orders.set_term(term_);
    orders.set_sequence(++one.orders_sent);
    orders.set_guard_incarnation(one.guard_incarnation);
    orders.set_token_base(one.token_base);
    orders.set_report_sequence(one.last_sequence);
    orders.set_report_sent_at_us(one.report_sent_at_us);
}

bool guard_sessions::all_lists_known(const std::set<std::string>& guards) const {
    return std::all_of(guards.begin(), guards.end(), [&](const std::string& guard) {
        const auto* report = find(host_id{guard});
        return report != nullptr && report->lists_known;
    });
}

}  // namespace baobabrack::workload
