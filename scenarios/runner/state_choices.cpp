#include "runner/state_choices.hpp"

#include <utility>

namespace baobabrack::scenario {

void choice_walk::begin_run() {
    depth_ = 0;
    faults_ = 0;
}

std::size_t choice_walk::choose(const std::vector<choice_cost>& branches) {
    if (depth_ == path_.size()) {
        decision next;
        for (std::size_t index = 0; index < branches.size(); ++index) {
            if (!branches[index].fault || faults_ < most_faults_) {
                next.open.push_back(index);
            }
        }
        path_.push_back(std::move(next));
    }
    const auto& current = path_[depth_++];
    const auto index = current.open[current.taken];
    faults_ += branches[index].fault ? 1 : 0;
    return index;
}

bool choice_walk::advance() {
    while (!path_.empty() && path_.back().taken + 1 == path_.back().open.size()) {
        path_.pop_back();
    }
    if (path_.empty()) {
        return false;
    }
    ++path_.back().taken;
    return true;
}

}  // namespace baobabrack::scenario
