#include "requests_site.hpp"

#include <cmath>

#include "baobabrack/records.pb.h"

namespace baobabrack::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto region = "kingston";
constexpr duration announcement_interval = 1s;
constexpr std::uint64_t replayed_all = 1000;

wire::Ticket site_ticket() {
    wire::Ticket ticket;
    ticket.set_number(1);
    auto& service = *ticket.add_services();
    service.set_id("nibcast");
    const auto add_class = [&](const char* name, std::uint32_t priority, bool idempotent) {
        auto& one = *service.add_classes();
        one.set_name(name);
        one.set_priority(priority);
        one.set_idempotent(idempotent);
    };
    add_class("alignment", 0, true);
    add_class("scan", 1, true);
    add_class("preview", 2, true);
    add_class("grind", 1, false);
    for (int i = 1; i <= 4; ++i) {
        auto& workspace = *ticket.add_workspaces();
        workspace.set_id("w" + std::to_string(i));
        workspace.set_service("nibcast");
        workspace.set_request_weight(1);
    }
    return ticket;
}

// Evenly distributed above 0, at most 1.
double uniform(runtime& loop) {
    constexpr double resolution = 1 << 30;
    return (static_cast<double>(loop.random() % (1 << 30)) + 1) / resolution;
}

}  // namespace

requests_site::requests_site(std::uint64_t seed)
    : loop_(seed),
      log_(loop_, {&claims_, &members_}, {}),
      targets_(loop_, {},
               [this](const target_request&) {
                   // Evenly between half and one and a half times the mean.
                   return duration{
                       static_cast<duration::rep>(mean_work.count() * (0.5 + uniform(loop_)))};
               }),
      link_(targets_, region) {
    tickets_.apply(site_ticket());
    for (int i = 1; i <= target_count; ++i) {
        wire::TargetAnnouncement facts;
        facts.set_target("t" + std::to_string(i));
        facts.set_incarnation(1);
        facts.set_service("nibcast");
        facts.mutable_location()->set_region(region);
        facts.mutable_location()->set_data_centre("d" + std::to_string(i % 3));
        facts.set_slots(slots);
        facts.set_connections(64);
        targets_.add(facts);
    }
    announce();
}

void requests_site::spoil_two_targets() {
    targets_.get(target_id{"t3"}).mode = fakes::target_mode::slow;
    targets_.get(target_id{"t7"}).mode = fakes::target_mode::errors;
}

double requests_site::capacity(int good_targets) {
    return good_targets * slots * 1e6 / static_cast<double>(mean_work.count());
}

duration requests_site::next_arrival(double rate) {
    return duration{static_cast<duration::rep>(-std::log(uniform(loop_)) * 1e6 / rate)};
}

void requests_site::announce() {
    ++announcements_;
    for (auto& [id, target] : targets_.all()) {
        target.facts.set_sequence(announcements_);
        registry_.handle_announcement(target.facts, loop_.now());
    }
    loop_.schedule(announcement_interval, [this] { announce(); });
}

void requests_site::join(int number) {
    wire::Record record;
    auto& joined = *record.mutable_entry_joined();
    joined.set_entry("e" + std::to_string(number));
    joined.set_incarnation(1);
    joined.mutable_location()->set_region(region);
    log_.propose(std::move(record), 1s, [](const auto&) {});
}

void requests_site::start_entries() {
    for (int i = 1; i <= entry_count; ++i) {
        join(i);
        links_.push_back(std::make_unique<fakes::fake_target_link>(targets_, region));
        entries_.push_back(std::make_unique<dispatcher>(
            dispatcher::context{loop_, tickets_, registry_, claims_, members_, log_, *links_.back(),
                                metrics_},
            dispatcher::options{
                .self = entry_id{"e" + std::to_string(i)},
                .version = incarnation{1},
                .place = {.region = region_id{region},
                          .data_centre = data_centre_id{"d" + std::to_string(i % 3)}}}));
    }
    for (const auto& entry : entries_) {
        for (int i = 1; i <= entry_count; ++i) {
            entry->heard(entry_id{"e" + std::to_string(i)}, incarnation{1},
                         log_offset{replayed_all});
        }
    }
    watch_log();
}

void requests_site::watch_log() {
    if (!log_.down()) {
        for (const auto& entry : entries_) {
            entry->log_seen(loop_.now());
        }
    }
    loop_.schedule(announcement_interval, [this] { watch_log(); });
}

}  // namespace baobabrack::bench
