#include "baobabrack/keyed/topic_follower.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_store.hpp"

using namespace baobabrack;
using namespace std::chrono_literals;

namespace {

const topic_id topic{"keyed.test"};

void write(fakes::fake_store& store, const std::string& key, const std::string& value) {
    store.append(
        {.topic = topic, .records = {{.key = key, .value = value}}, .expected_end = std::nullopt});
}

/// Lets the history expire while the store does not answer, after what the action writes.
void expire_after(virtual_runtime& loop, fakes::fake_store& store, fakes::fake_store_link& link,
                  const std::function<void()>& action) {
    link.active_faults.silent = true;
    loop.run_for(2s);
    action();
    store.expire_history();
    link.active_faults.silent = false;
    loop.run_for(4s);
}

}  // namespace

// The record that deleted the key is among those that were dropped.
TEST_CASE(
    "A key that is deleted in dropped history is delivered without a value if keys are "
    "tracked",
    "[follower]") {
    const bool track_keys = GENERATE(true, false);
    virtual_runtime loop(3);
    fakes::fake_store store(loop);
    fakes::fake_store_link link(loop, store);
    write(store, "a", "1");
    write(store, "b", "2");
    topic_follower follower(loop, link, {.topic = topic, .track_keys = track_keys});
    std::vector<keyed_entry> delivered;
    follower.start([&](const keyed_entry& entry) { delivered.push_back(entry); }, [] {});
    loop.run_for(1s);
    REQUIRE(delivered.size() == 2);
    expire_after(loop, store, link, [&] {
        write(store, "a", "");
        write(store, "c", "3");
    });
    const auto deletions =
        std::count_if(delivered.begin(), delivered.end(), [](const keyed_entry& entry) {
            return entry.record == keyed_record{.key = "a", .value = ""};
        });
    CHECK(deletions == (track_keys ? 1 : 0));
    delivered.clear();
    expire_after(loop, store, link, [&] { write(store, "a", "4"); });
    CHECK(std::count_if(delivered.begin(), delivered.end(), [](const keyed_entry& entry) {
              return entry.record == keyed_record{.key = "a", .value = "4"};
          }) >= 1);
}

namespace {

/// A log whose reads return one record at a time.
class small_pages : public keyed_log {
public:
    explicit small_pages(keyed_log& log) : log_(log) {}
    store_limits limits() const override { return log_.limits(); }
    void append(keyed_append request, append_callback done) override {
        log_.append(std::move(request), std::move(done));
    }
    void read(const topic_id& from, log_offset offset, duration wait, duration timeout,
              page_callback done) override {
        log_.read(from, offset, wait, timeout, [done = std::move(done)](result<keyed_page> page) {
            if (page && page.value().entries.size() > 1) {
                page.value().entries.resize(1);
            }
            done(std::move(page));
        });
    }
    void list_newest(const topic_id& from, const std::string& after, duration timeout,
                     page_callback done) override {
        log_.list_newest(from, after, timeout, std::move(done));
    }

private:
    keyed_log& log_;
};

}  // namespace

TEST_CASE("Nothing is confirmed before the last page if keys are tracked", "[follower]") {
    virtual_runtime loop(4);
    fakes::fake_store store(loop);
    fakes::fake_store_link link(loop, store);
    small_pages log(link);
    topic_follower follower(loop, log, {.topic = topic, .track_keys = true});
    std::size_t delivered = 0;
    follower.start([&](const keyed_entry& /*entry*/) { ++delivered; }, [] {});
    loop.run_for(1s);
    REQUIRE(follower.confirmed());
    for (int record = 0; record < 20; ++record) {
        write(store, "k", std::to_string(record));
    }
    const auto written = loop.now();
    while (delivered < 20) {
        CHECK(*follower.confirmed() <= written);
        loop.run_for(1ms);
    }
    loop.run_for(2s);
    CHECK(*follower.confirmed() > written);
}
