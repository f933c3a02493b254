#include "baobabrack/workload/guard_sessions.hpp"

#include <algorithm>
#include <numeric>

#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/report_codec.hpp"

namespace baobabrack::workload {

namespace {

// A running guard reports twice a second.
constexpr duration process_silence = std::chrono::milliseconds{1200};
// A fencing token consists of the term, the number of the guard's session in that term, and the
// guard's own counter.
constexpr unsigned term_shift = 24;
constexpr unsigned session_shift = 12;
// Any number of hosts could be named by messages. Each guard needs descriptors of this process, of
// which it has fewer.
constexpr std::size_t max_sessions = 4096;
// Of reports of all guards, in bytes. The parts of a report arrive one after the other.
constexpr std::size_t max_incomplete_bytes = 16UL << 20U;
// A guard that is silent for this long makes room for another.
constexpr duration session_retention = std::chrono::seconds{60};

}  // namespace

void guard_sessions::begin_term(std::uint64_t term) {
    sessions_.clear();
    term_ = term;
    session_count_ = 0;
}

bool guard_sessions::is_new_process(const session& known, std::uint64_t incarnation,
                                    time_point now) const {
    if (incarnation == known.guard_incarnation) {
        return false;
    }
    return incarnation > known.guard_incarnation || now - known.last_heard > process_silence;
}

const worker_report* guard_sessions::accept_report(const wire::WorkloadReport& message,
                                                   time_point now) {
    if (find(host_id{message.host()}) == nullptr && !has_room(now)) {
        return nullptr;
    }
    auto& current = sessions_[host_id{message.host()}];
    if (is_new_process(current, message.guard_incarnation(), now)) {
        current = session();
        current.guard_incarnation = message.guard_incarnation();
        current.token_base = (term_ << term_shift) + (++session_count_ << session_shift);
        log_event(log_level::info, "guard-joined")
            .field("host", message.host())
            .field("worker", message.worker().id())
            .field("token_base", current.token_base);
    }
    const bool same_process = message.guard_incarnation() == current.guard_incarnation;
    if (!same_process || message.sequence() <= current.last_sequence) {
        return nullptr;
    }
    current.last_heard = now;
    const auto whole = assemble(current, message);
    if (!whole) {
        return nullptr;
    }
    current.last_sequence = message.sequence();
    current.report_sent_at_us = message.sent_at_us();
    current.report = from_wire(*whole);
    // Lists that a guard reported under an earlier leader may predate orders that it has received
    // since.
    current.report.lists_known = message.lists_known() && message.term() == term_;
    return &current.report;
}

// Anybody can send parts of reports.
std::optional<wire::WorkloadReport> guard_sessions::assemble(session& from,
                                                             const wire::WorkloadReport& part) {
    const bool too_many = part.parts() > max_report_parts;
    if (part.parts() > 1 && (too_many || incomplete_bytes() >= max_incomplete_bytes)) {
        from.incomplete.clear();
        log_event(log_level::error, "report-too-large")
            .field("host", part.host())
            .field("parts", part.parts())
            .field("incomplete_bytes", static_cast<std::uint64_t>(incomplete_bytes()));
        return std::nullopt;
    }
    return from.incomplete.add(part);
}

std::size_t guard_sessions::incomplete_bytes() const {
    return std::accumulate(
        sessions_.begin(), sessions_.end(), std::size_t{0},
        [](std::size_t sum, const auto& entry) { return sum + entry.second.incomplete.bytes(); });
}

bool guard_sessions::has_room(time_point now) {
    if (sessions_.size() >= max_sessions) {
        std::erase_if(sessions_, [now](const auto& entry) {
            return now - entry.second.last_heard >= session_retention;
        });
    }
    return sessions_.size() < max_sessions;
}

const worker_report* guard_sessions::find(const host_id& host) const {
    const auto found = sessions_.find(host);
    return found == sessions_.end() ? nullptr : &found->second.report;
}

void guard_sessions::fill_header(const host_id& host, wire::WorkloadOrders& orders) {
    auto& current = sessions_.at(host);
    orders.set_term(term_);
    orders.set_sequence(++current.orders_sent);
    orders.set_guard_incarnation(current.guard_incarnation);
    orders.set_token_base(current.token_base);
    orders.set_report_sequence(current.last_sequence);
    orders.set_report_sent_at_us(current.report_sent_at_us);
}

void guard_sessions::set_lease_extendable(const host_id& host, bool extendable) {
    sessions_.at(host).lease_extendable = extendable;
}

bool guard_sessions::is_lease_extendable(const host_id& host) const {
    const auto found = sessions_.find(host);
    return found != sessions_.end() && found->second.lease_extendable;
}

bool guard_sessions::all_lists_known(const std::set<std::string>& guards) const {
    return std::all_of(guards.begin(), guards.end(), [&](const std::string& guard) {
        const auto* report = find(host_id{guard});
        return report != nullptr && report->lists_known;
    });
}

}  // namespace baobabrack::workload
