#include "runner/requests_entry.hpp"

#include <utility>

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

constexpr duration membership_patience = 5s;

}  // namespace

requests_entry::requests_entry(runtime& loop, requests_log& log, fakes::fake_targets& targets,
                               const directory& tickets, dispatcher::options opts)
    : loop_(loop),
      options_(std::move(opts)),
      replica_(loop, log, {&claims_, &entries_},
               {.self = options_.self, .version = options_.version}),
      link_(targets, options_.place.region.get()),
      dispatcher_(
          std::make_unique<dispatcher>(dispatcher::context{loop_, tickets, registry_, claims_,
                                                           entries_, replica_, link_, metrics_},
                                       options_)) {
}

void requests_entry::propose(wire::Record record, std::function<void(bool)> done) {
    replica_.propose(std::move(record), membership_patience,
                     [done = std::move(done)](const auto& outcome) { done(outcome.has_value()); });
}

void requests_entry::join() {
    wire::Record record;
    auto& joined = *record.mutable_entry_joined();
    joined.set_entry(options_.self.get());
    joined.set_incarnation(options_.version.get());
    joined.mutable_location()->set_region(options_.place.region.get());
    propose(std::move(record), [](bool) {});
}

void requests_entry::remove(const entry_id& other, incarnation version) {
    wire::Record record;
    record.mutable_entry_left()->set_entry(other.get());
    record.mutable_entry_left()->set_incarnation(version.get());
    propose(std::move(record), [](bool) {});
}

void requests_entry::begin_drain() {
    draining_ = true;
    dispatcher_->begin_drain();
}

void requests_entry::tick() {
    if (replica_.read()) {
        dispatcher_->log_seen(loop_.now());
    }
    was_joined_ = was_joined_ || joined();
    if (draining_ && !leaving_ && dispatcher_->drained()) {
        leaving_ = true;
        wire::Record record;
        record.mutable_entry_left()->set_entry(options_.self.get());
        record.mutable_entry_left()->set_incarnation(options_.version.get());
        record.mutable_entry_left()->set_drained(true);
        propose(std::move(record), [this](bool done) {
            left_ = done;
            leaving_ = done;
        });
    }
}

}  // namespace baobabrack::scenario
