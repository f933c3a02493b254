#ifndef BAOBABRACK_RUNNER_STATE_WORLD_HPP
#define BAOBABRACK_RUNNER_STATE_WORLD_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_log.hpp"
#include "runner/fuzz_area.hpp"
#include "runner/state_oracle.hpp"
#include "runner/state_process.hpp"
#include "runner/state_records.hpp"

namespace baobabrack::scenario {

/// The processes, the log and the faults of one run of the state area.
class state_world {
public:
    explicit state_world(const fuzz_options& options);

    /// Does one random thing, lets some time pass and checks every invariant.
    ///
    /// @return the violation; empty if all hold
    std::string step();

    /// Ends every fault, waits, and checks that everyone has the one whole state.
    std::string finish();

    std::vector<std::string> coverage() const;

private:
    struct counts {
        std::uint64_t outages = 0;
        std::uint64_t slow_spells = 0;
        std::uint64_t lost_answers = 0;
        std::uint64_t retention_losses = 0;
        std::uint64_t kills = 0;
        std::uint64_t peer_starts = 0;
        std::uint64_t log_starts = 0;
        std::uint64_t pauses = 0;
        std::uint64_t stranded = 0;
    };
    static constexpr std::size_t process_count = 4;

    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    bool one_in(std::uint64_t bound) { return pick(bound) == 0; }
    void act();
    void disturb(std::size_t index);
    void propose();
    void toggle_outage();
    void toggle_slowness();
    void lose_records();
    void kill_or_start(std::size_t index);
    void start(std::size_t index, bool from_peer);
    void pause_or_resume(std::size_t index);
    void put_junk();
    void mutate();
    state_process* find_ready() const;
    void heal();
    std::string check() const;
    std::string check_process(state_process& process) const;
    std::string check_end() const;
    void note(const std::string& violation);

    std::mt19937_64 random_;
    state_records records_;
    std::string mutation_;
    virtual_runtime loop_;
    fakes::fake_log log_;
    state_oracle oracle_;
    std::array<std::unique_ptr<state_process>, process_count> processes_;
    std::uint64_t next_incarnation_ = 1;
    std::uint64_t steps_ = 0;
    bool down_ = false;
    bool slow_ = false;
    std::string violation_;
    std::string old_tickets_;
    ticket_number old_highest_;
    counts counts_;
};

}  // namespace baobabrack::scenario

#endif
