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

/// The platform's workers in virtual time, with fault injection.
class fake_workers : public worker_service {
public:
    struct options {
        duration min_delay = std::chrono::microseconds{500};
        duration max_delay = std::chrono::milliseconds{2};
        /// Time after which a call without an answer fails.
        duration call_timeout = std::chrono::seconds{1};
        /// Rates of lost calls and lost answers, per thousand.
        std::uint32_t lost_calls_permille = 0;
        std::uint32_t lost_answers_permille = 0;
        fake_worker::options worker;
    };

    fake_workers(runtime& loop, options opts);

    void call(const worker_id& worker, const wire::WorkerCall& call, reply_callback done) override;

    /// Like `call`, for a named caller, which can be partitioned from a worker on its own.
    void call_from(const std::string& caller, const worker_id& worker, const wire::WorkerCall& call,
                   reply_callback done);

    /// Adds a worker, or replaces the worker with the same id.
    fake_worker& add(const wire::WorkerFacts& facts);

    /// Adds `count` workers "w0", "w1" and so on in one data centre, `per_rack` per rack.
    void add_many(std::uint32_t count, std::uint32_t per_rack, const resources& capacity);

    fake_worker* find(const worker_id& id);

    /// Kills the host and every task on it; the inventory lists the worker until `forget`.
    void kill(const worker_id& id);

    /// Replaces the host with a new incarnation that runs nothing.
    void replace(const worker_id& id);

    /// Kills the worker if it is alive, and removes it from the inventory.
    void forget(const worker_id& id);

    /// Pauses the worker; calls that arrive meanwhile are delivered when it resumes.
    void pause(const worker_id& id, duration span);

    /// Partitions a caller (every caller if empty) from a worker, or ends the partition.
    void set_partitioned(const std::string& caller, const worker_id& worker, bool partitioned);

    void set_loss_rates(std::uint32_t calls_permille, std::uint32_t answers_permille);

    /// @return the inventory
    wire::WorkerList list() const;

    const std::map<worker_id, std::unique_ptr<fake_worker>>& alive() const { return alive_; }

    /// @return the ids of all workers in the inventory
    std::vector<worker_id> names() const;

    std::uint64_t calls() const { return calls_; }
    std::uint64_t bytes() const { return bytes_; }

    /// Called for each task that completes successfully.
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

/// Access to the workers for one named caller.
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
