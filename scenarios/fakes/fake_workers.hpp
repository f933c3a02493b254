#ifndef BAOBABRACK_FAKES_FAKE_WORKERS_HPP
#define BAOBABRACK_FAKES_FAKE_WORKERS_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobabrack/services/worker_service.hpp"
#include "fakes/fake_worker.hpp"

namespace baobabrack::fakes {

/// The platform's workers in virtual time, with the failures that tests cause.
class fake_workers : public worker_service {
public:
    struct options {
        duration min_delay = std::chrono::microseconds{500};
        duration max_delay = std::chrono::milliseconds{2};
        /// A call without an answer fails after this long.
        duration call_timeout = std::chrono::seconds{1};
        /// Calls and answers that are lost, out of a thousand.
        std::uint32_t lost_calls_permille = 0;
        std::uint32_t lost_answers_permille = 0;
        fake_worker::options worker;
    };

    fake_workers(runtime& loop, options opts);

    void call(const worker_id& worker, const wire::WorkerCall& call, reply_callback done) override;

    /// Same, over links that belong to one caller and may be cut for it alone.
    void call_from(const std::string& caller, const worker_id& worker, const wire::WorkerCall& call,
                   reply_callback done);

    /// Adds a worker, or replaces the one of this name.
    fake_worker& add(const wire::WorkerFacts& facts);

    /// Adds `count` workers "w0", "w1" and so on, `per_rack` to a rack, all in one data centre.
    void add_many(std::uint32_t count, std::uint32_t per_rack, const resources& capacity);

    fake_worker* find(const worker_id& id);

    /// The host dies with everything on it; the inventory lists it until `forget`.
    void kill(const worker_id& id);

    /// The platform replaces the host: a new incarnation with nothing running.
    void replace(const worker_id& id);

    /// The inventory stops listing a worker, which dies if it has not yet.
    void forget(const worker_id& id);

    /// The worker stands still for a while; calls meanwhile wait for it.
    void pause(const worker_id& id, duration span);

    /// Cuts or mends the link between one caller, or every caller if empty, and a worker.
    void set_partitioned(const std::string& caller, const worker_id& worker, bool partitioned);

    void set_loss_rates(std::uint32_t calls_permille, std::uint32_t answers_permille);

    /// @return the platform's inventory
    wire::WorkerList list() const;

    const std::map<worker_id, std::unique_ptr<fake_worker>>& alive() const { return alive_; }

    /// @return every name that the inventory lists
    std::vector<worker_id> names() const;

    std::uint64_t calls() const { return calls_; }
    std::uint64_t bytes() const { return bytes_; }

    /// Called for each task that has run to its end.
    std::function<void(const worker_id&, const job_id&, attempt_number)> on_finished;

private:
    struct exchange;

    void deliver(const std::shared_ptr<exchange>& pending);
    void answer(const std::shared_ptr<exchange>& pending, const wire::WorkerReply& reply);
    bool is_partitioned(const std::string& caller, const worker_id& worker) const;
    bool should_lose(std::uint32_t permille);
    duration random_delay();

    runtime& loop_;
    options options_;
    std::map<worker_id, wire::WorkerFacts> listed_;
    std::map<worker_id, wire::WorkerFacts> unlisted_;
    std::map<worker_id, std::unique_ptr<fake_worker>> alive_;
    std::map<worker_id, std::vector<std::shared_ptr<exchange>>> paused_calls_;
    std::set<std::pair<std::string, worker_id>> partitions_;
    std::uint64_t calls_ = 0;
    std::uint64_t bytes_ = 0;
};

/// The workers as one caller reaches them.
class fake_worker_port : public worker_service {
public:
    fake_worker_port(fake_workers& workers, std::string caller)
        : workers_(workers), caller_(std::move(caller)) {}

    void call(const worker_id& worker, const wire::WorkerCall& call, reply_callback done) override {
        workers_.call_from(caller_, worker, call, std::move(done));
    }

private:
    fake_workers& workers_;
    std::string caller_;
};

}  // namespace baobabrack::fakes

#endif
