#include "baobabrack/ledger/duplicate_filter.hpp"

#include "baobabrack/records.pb.h"

namespace baobabrack {

namespace {

// An append that is still on its way after this long can no longer arrive.
constexpr std::chrono::hours writer_memory{24};

}  // namespace

batch_verdict duplicate_filter::admit(const wire::LogBatch& batch, wall_time log_time) {
    const auto found = writers_.find(batch.writer());
    if (found == writers_.end()) {
        forget_before(log_time - writer_memory);
        writers_[batch.writer()] = {batch.incarnation(), batch.sequence(), log_time};
        return batch_verdict::fresh;
    }
    auto& known = found->second;
    if (batch.incarnation() < known.version) {
        return batch_verdict::fenced;
    }
    if (batch.incarnation() == known.version && batch.sequence() <= known.sequence) {
        return batch_verdict::duplicate;
    }
    known = {batch.incarnation(), batch.sequence(), log_time};
    return batch_verdict::fresh;
}

std::uint64_t duplicate_filter::last_sequence(const entry_id& writer, incarnation version) const {
    const auto found = writers_.find(writer.get());
    if (found == writers_.end() || found->second.version != version.get()) {
        return 0;
    }
    return found->second.sequence;
}

void duplicate_filter::forget_before(wall_time oldest) {
    std::erase_if(writers_, [&](const auto& item) { return item.second.last < oldest; });
}

void duplicate_filter::save(wire::ReplayProgress& progress) const {
    for (const auto& [writer, known] : writers_) {
        auto* saved = progress.add_writers();
        saved->set_writer(writer);
        saved->set_incarnation(known.version);
        saved->set_sequence(known.sequence);
        saved->set_written_at_ms(known.last.time_since_epoch().count());
    }
}

void duplicate_filter::load(const wire::ReplayProgress& progress) {
    writers_.clear();
    for (const auto& saved : progress.writers()) {
        const wall_time last{std::chrono::milliseconds{saved.written_at_ms()}};
        writers_[saved.writer()] = {saved.incarnation(), saved.sequence(), last};
    }
}

}  // namespace baobabrack
