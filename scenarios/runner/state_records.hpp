#ifndef BAOBABRACK_RUNNER_STATE_RECORDS_HPP
#define BAOBABRACK_RUNNER_STATE_RECORDS_HPP

#include <cstdint>
#include <random>
#include <string>

#include "baobabrack/records.pb.h"
#include "baobabrack/units/time.hpp"
#include "runner/state_process.hpp"

namespace baobabrack::scenario {

/// Makes random proposals that race each other, each with a mark that no other one has.
class state_records {
public:
    explicit state_records(std::uint64_t seed) : random_(seed) {}

    /// @param seen what the proposing process has replayed
    wire::Record make(const state_parts& seen, wall_time now);

    /// @return the mark of a record; empty if it has none
    static std::string mark_of(const wire::Record& record);

private:
    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    wire::Record make_ticket();
    wire::Record make_claim(wall_time now);
    wire::Record make_worker();
    wire::Record make_job();
    wire::Record make_commit(const state_parts& seen);
    wire::Record make_finish(const state_parts& seen);
    const job* find_job(const state_parts& seen, job_phase phase);

    std::mt19937_64 random_;
    std::uint64_t next_mark_ = 0;
    std::uint64_t highest_number_ = 0;
};

}  // namespace baobabrack::scenario

#endif
