#include "baobabrack/keyed/topic_end_reader.hpp"

#include <utility>

namespace baobabrack {

topic_end_reader::topic_end_reader(keyed_log& log, options opts,
                                   std::function<log_offset()> next_offset, entry_handler on_entry)
    : log_(log),
      options_(std::move(opts)),
      next_offset_(std::move(next_offset)),
      on_entry_(std::move(on_entry)) {
}

void topic_end_reader::read_to_end(done_handler done) {
    waiting_.push_back(std::move(done));
    if (served_.empty()) {
        start();
    }
}

void topic_end_reader::start() {
    served_ = std::exchange(waiting_, {});
    read(next_offset_());
}

void topic_end_reader::read(log_offset from) {
    log_.read(options_.topic, from, duration::zero(), options_.answer_timeout,
              [this, from, alive = std::weak_ptr<bool>(alive_)](const result<keyed_page>& page) {
                  if (!alive.expired()) {
                      handle_page(page, from);
                  }
              });
}

void topic_end_reader::handle_page(const result<keyed_page>& page, log_offset from) {
    if (!page) {
        finish(false);
        return;
    }
    auto next = from;
    for (const auto& entry : page.value().entries) {
        on_entry_(entry);
        next = log_offset{entry.offset.get() + 1};
    }
    if (next >= page.value().end) {
        finish(true);
    } else if (next == from) {
        finish(false);
    } else {
        read(next);
    }
}

void topic_end_reader::finish(bool complete) {
    const std::weak_ptr<bool> alive = alive_;
    for (const auto& done : std::exchange(served_, {})) {
        done(complete);
        if (alive.expired()) {
            return;
        }
    }
    if (served_.empty() && !waiting_.empty()) {
        start();
    }
}

}  // namespace baobabrack
