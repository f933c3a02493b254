#include "baobabrack/keyed/conditional_writer.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/keyed/topic_follower.hpp"
#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_store.hpp"

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

const topic_id topic{"t"};

keyed_append other_writer_append(const std::string& value) {
    return {.topic = topic, .records = {{.key = "other", .value = value}}};
}

}  // namespace

TEST_CASE("A batch is stored once although replies may be lost", "[writer]") {
    virtual_runtime loop(7);
    fakes::fake_store store(loop);
    fakes::fake_store_link link(loop, store);
    conditional_writer writer(loop, link, {.topic = topic});
    link.active_faults.lost_answers = 0.6;
    for (int batch = 0; batch < 50; ++batch) {
        std::optional<conditional_writer::outcome> batch_outcome;
        writer.write({{.key = "k", .value = std::to_string(batch)}},
                     [&](conditional_writer::outcome reported) { batch_outcome = reported; });
        while (!batch_outcome) {
            REQUIRE(loop.step());
        }
        CHECK(*batch_outcome == conditional_writer::outcome::stored);
    }
    loop.run_for(20s);
    CHECK(store.at(topic).records.size() == 50);
    CHECK(writer.retries() > 0);
}

TEST_CASE("A writer is notified that it was superseded, also after a lost reply", "[writer]") {
    virtual_runtime loop(8);
    fakes::fake_store store(loop);
    fakes::fake_store_link link(loop, store);
    conditional_writer writer(loop, link, {.topic = topic});
    std::optional<conditional_writer::outcome> batch_outcome;
    SECTION("on the first attempt") {
        store.append(other_writer_append("x"));
    }
    SECTION("between two attempts") {
        link.active_faults.silent = true;
        loop.schedule(100ms, [&] {
            store.append(other_writer_append("x"));
            link.active_faults.silent = false;
        });
    }
    writer.write({{.key = "k", .value = "mine"}},
                 [&](conditional_writer::outcome reported) { batch_outcome = reported; });
    loop.run_for(10s);
    CHECK(batch_outcome == conditional_writer::outcome::superseded);
    CHECK(store.at(topic).records.size() == 1);
}

// The store refused a batch for its size, and the writer sent it again without end.
TEST_CASE("A batch that the store does not take is rejected at once", "[writer]") {
    virtual_runtime loop(11);
    fakes::fake_store store(loop);
    store.limits = {.record_bytes = 100, .request_bytes = 250};
    fakes::fake_store_link link(loop, store);
    conditional_writer writer(loop, link, {.topic = topic});
    std::optional<conditional_writer::outcome> batch_outcome;
    const auto report = [&](conditional_writer::outcome reported) { batch_outcome = reported; };
    const keyed_record record{.key = "k", .value = std::string(80, 'v')};
    std::vector<keyed_record> batch{record, record, record};
    SECTION("a record that is too large") {
        batch = {{.key = "k", .value = std::string(100, 'v')}};
        writer.write(batch, report);
    }
    SECTION("a batch that is too large") {
        writer.write(batch, report);
    }
    SECTION("a batch whose size only the store finds too large") {
        link.announced_limits = store_limits{};
        writer.write(batch, report);
    }
    loop.run_for(20ms);
    CHECK(batch_outcome == conditional_writer::outcome::rejected);
    CHECK(store.at(topic).records.empty());
    writer.write({record, record}, report);
    loop.run_for(20ms);
    CHECK(batch_outcome == conditional_writer::outcome::stored);
}

TEST_CASE("A follower delivers every record in order, also after history was dropped",
          "[follower]") {
    virtual_runtime loop(9);
    fakes::fake_store store(loop);
    fakes::fake_store_link link(loop, store);
    store.append(other_writer_append("1"));
    topic_follower follower(loop, link, {.topic = topic});
    std::vector<std::string> delivered;
    follower.start([&](const keyed_entry& entry) { delivered.push_back(entry.record.value); },
                   [] {});
    loop.run_for(1s);
    store.append(other_writer_append("2"));
    loop.run_for(100ms);
    CHECK(delivered == std::vector<std::string>{"1", "2"});
    link.active_faults.silent = true;
    loop.run_for(2s);
    store.append(other_writer_append("3"));
    store.append(other_writer_append("4"));
    store.expire_history();
    link.active_faults.silent = false;
    loop.run_for(4s);
    CHECK(delivered.back() == "4");
    CHECK(follower.consecutive_failures() == 0);
}

TEST_CASE("The confirmed time of a follower is never newer than its last reply", "[follower]") {
    virtual_runtime loop(10);
    fakes::fake_store store(loop);
    fakes::fake_store_link link(loop, store);
    topic_follower follower(loop, link, {.topic = topic});
    follower.start([](const keyed_entry&) {}, [] {});
    loop.run_for(3s);
    REQUIRE(follower.confirmed());
    CHECK(loop.now() - *follower.confirmed() < 1100ms);
    link.active_faults.silent = true;
    const auto outage_start = loop.now();
    loop.run_for(5s);
    CHECK(*follower.confirmed() <= outage_start);
    CHECK(follower.outage_duration() > 2s);
}

TEST_CASE("A stale read neither moves the offset back nor confirms", "[follower]") {
    virtual_runtime loop(11);
    fakes::fake_store store(loop);
    fakes::fake_store_link link(loop, store);
    topic_follower follower(loop, link, {.topic = topic});
    std::vector<std::string> delivered;
    follower.start([&](const keyed_entry& entry) { delivered.push_back(entry.record.value); },
                   [] {});
    loop.run_for(1s);
    store.append(other_writer_append("1"));
    loop.run_for(1s);
    link.active_faults.stale_records = 1;
    store.append(other_writer_append("2"));
    loop.run_for(2s);
    CHECK(delivered == std::vector<std::string>{"1"});
    link.active_faults.stale_records = 0;
    loop.run_for(2s);
    CHECK(delivered == std::vector<std::string>{"1", "2"});
    CHECK(follower.next_offset() == log_offset{2});
}

namespace {

/// Counts the polls that reach a store.
class counting_log : public keyed_log {
public:
    explicit counting_log(keyed_log& log) : log_(log) {}
    store_limits limits() const override { return log_.limits(); }
    void append(keyed_append request, append_callback done) override {
        log_.append(std::move(request), std::move(done));
    }
    void read(const topic_id& from, log_offset offset, duration wait, duration timeout,
              page_callback done) override {
        ++polls;
        log_.read(from, offset, wait, timeout, std::move(done));
    }
    void list_newest(const topic_id& from, const std::string& after, duration timeout,
                     page_callback done) override {
        log_.list_newest(from, after, timeout, std::move(done));
    }

    int polls = 0;

private:
    keyed_log& log_;
};

}  // namespace

// A leader that stores a decision every 10 ms caused as many calls at every other scheduler.
TEST_CASE("The polls of a follower do not grow with the number of records", "[follower]") {
    virtual_runtime loop(9);
    fakes::fake_store store(loop);
    fakes::fake_store_link link(loop, store);
    counting_log log(link);
    topic_follower follower(loop, log, {.topic = topic, .min_poll_interval = 120ms});
    std::size_t delivered = 0;
    follower.start([&](const keyed_entry& /*entry*/) { ++delivered; }, [] {});
    loop.run_for(1s);
    log.polls = 0;
    for (int record = 0; record < 200; ++record) {
        store.append(other_writer_append(std::to_string(record)));
        loop.run_for(10ms);
    }
    loop.run_for(200ms);
    CHECK(delivered == 200);
    CHECK(log.polls <= 20);
    SECTION("and without a minimum interval a record is delivered at once") {
        follower.set_min_poll_interval({});
        loop.run_for(1s);
        store.append(other_writer_append("last"));
        loop.run_for(30ms);
        CHECK(delivered == 201);
    }
}
