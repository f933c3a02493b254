#ifndef BAOBABRACK_RUNNER_STATE_RACE_HPP
#define BAOBABRACK_RUNNER_STATE_RACE_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "baobabrack/ledger/log_writer.hpp"
#include "baobabrack/ledger/replica.hpp"
#include "baobabrack/runtime/virtual_runtime.hpp"
#include "runner/state_choices.hpp"
#include "runner/state_process.hpp"
#include "runner/state_protocols.hpp"

namespace baobabrack::scenario {

/// Deliberate faults that the race's checks must catch.
enum class race_mutation { none, lost_means_unavailable, blind_repeat, unheeded_refusal };

/// One run of two entries that race over one log, every step of which is a choice: the order of
/// the appends, lost answers, late effects, an outage, a pause, a restart, time that passes.
class state_race {
public:
    state_race(const state_protocol& protocol, choice_walk& walk, race_mutation mutation);

    /// @return the violation; empty if the run kept every rule
    std::string run();

private:
    class port;
    struct racer {
        racer(state_race& race, std::size_t index, std::uint64_t version);
        ~racer();

        pausable_runtime clock;
        std::vector<std::unique_ptr<replicated_state>> states;
        std::unique_ptr<port> connection;
        std::unique_ptr<replica> reader;
        std::unique_ptr<log_writer> writer;
    };
    struct pending_append {
        std::size_t entry = 0;
        std::string payload;
        log_service::append_callback done;
    };
    struct waiting_read {
        log_offset from;
        std::size_t most = 0;
        log_service::read_callback done;
    };
    /// What a proposer was told, and what the log holds.
    struct told_proposal {
        std::string writer;
        std::uint64_t version = 0;
        std::string told;
    };
    struct action {
        choice_cost cost;
        std::function<void()> act;
    };
    static constexpr std::size_t racer_count = 2;

    void start(std::size_t entry);
    void take_append(pending_append append);
    void take_read(waiting_read read);
    void store(std::string payload);
    void answer(const waiting_read& read);
    pending_append take_pending(std::size_t index);
    std::vector<action> actions();
    void add_append_actions(std::vector<action>& possible);
    void add_entry_actions(std::vector<action>& possible);
    void add_time_action(std::vector<action>& possible);
    void settle();
    void calm();
    std::string check();
    std::string check_told(const told_proposal& one, bool in_log, bool applied) const;

    const state_protocol& protocol_;
    choice_walk& walk_;
    race_mutation mutation_;
    virtual_runtime loop_{1};
    std::vector<std::string> log_;
    std::vector<pending_append> pending_;
    std::vector<std::string> late_;
    std::vector<waiting_read> reads_;
    std::array<std::unique_ptr<racer>, racer_count> racers_;
    std::uint64_t next_version_ = 1;
    std::vector<std::shared_ptr<told_proposal>> proposals_;
    bool paused_once_ = false;
    bool restarted_once_ = false;
    std::size_t advances_ = 0;
};

}  // namespace baobabrack::scenario

#endif
