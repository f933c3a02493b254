#ifndef BAOBABRACK_FAKES_FAKE_STORE_HPP
#define BAOBABRACK_FAKES_FAKE_STORE_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/keyed/keyed_log.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack::fakes {

/// Keyed topics in memory. Each process accesses them through its own link, which can fail.
class fake_store {
public:
    explicit fake_store(runtime& loop) : loop_(loop) {}

    /// The links refuse a larger append, as the real store does.
    store_limits limits;

    struct topic {
        std::vector<keyed_record> records;
        /// Offset of the oldest record that has not expired.
        std::uint64_t first = 0;
    };

    topic& at(const topic_id& id) { return topics_[id]; }

    /// Expires all records of every topic for reads; `newest` still returns the newest record of
    /// each key.
    void expire_history();

    /// @return the offsets, and whether the records were stored: not if the topic does not end at
    /// the expected offset
    append_reply append(const keyed_append& request);

    /// @return the newest record of each key whose value is not empty, and the end of the topic
    keyed_page newest(const topic_id& id) const;

    /// @return the records from an offset on, or `expired`
    result<keyed_page> read(const topic_id& id, log_offset from) const;

private:
    runtime& loop_;
    std::map<topic_id, topic> topics_;
};

/// One process's connection to the store. No callback runs after its destruction.
class fake_store_link : public keyed_log {
public:
    /// Faults that the link injects.
    struct faults {
        /// Every call is refused and not carried out.
        bool refuses = false;
        /// No call is answered or carried out.
        bool silent = false;
        /// Share of the appends that get no answer. Of these, a quarter are never carried out, the
        /// others up to five seconds later.
        double lost_answers = 0;
        /// Number of the newest records that reads do not return yet.
        std::uint64_t stale_records = 0;
    };

    fake_store_link(runtime& loop, fake_store& store) : loop_(loop), store_(store) {}

    faults active_faults;
    duration delay = std::chrono::milliseconds{4};
    /// What the process takes for the store's limits, if these are others.
    std::optional<store_limits> announced_limits;

    store_limits limits() const override { return announced_limits.value_or(store_.limits); }
    void append(keyed_append request, append_callback done) override;
    void read(const topic_id& topic, log_offset from, duration wait, duration timeout,
              page_callback done) override;
    void list_newest(const topic_id& topic, const std::string& after, duration timeout,
                     page_callback done) override;

private:
    void schedule_if_alive(duration delay_time, std::function<void()> action);
    template <typename Callback>
    bool inject_fault(const Callback& done, duration timeout);
    void poll(const topic_id& topic, log_offset from, time_point until, const page_callback& done);

    runtime& loop_;
    fake_store& store_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack::fakes

#endif
