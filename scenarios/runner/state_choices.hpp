#ifndef BAOBABRACK_RUNNER_STATE_CHOICES_HPP
#define BAOBABRACK_RUNNER_STATE_CHOICES_HPP

#include <cstddef>
#include <vector>

namespace baobabrack::scenario {

/// One branch of a decision.
struct choice_cost {
    /// Whether taking it uses up one of the run's faults.
    bool fault = false;
};

/// Walks through every sequence of choices depth first; each run is executed from the start.
class choice_walk {
public:
    /// @param most_faults faults that one run may take
    explicit choice_walk(std::size_t most_faults) : most_faults_(most_faults) {}

    /// Begins the next run.
    void begin_run();

    /// Decides between branches, of which the first must be free of faults.
    ///
    /// @return the index of the branch to take
    std::size_t choose(const std::vector<choice_cost>& branches);

    /// Moves on to the next unexplored sequence.
    ///
    /// @return false if there is none left
    bool advance();

private:
    struct decision {
        // Indices of the branches that the run can afford.
        std::vector<std::size_t> open;
        std::size_t taken = 0;
    };

    std::size_t most_faults_;
    std::size_t faults_ = 0;
    std::size_t depth_ = 0;
    std::vector<decision> path_;
};

}  // namespace baobabrack::scenario

#endif
