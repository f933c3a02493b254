#ifndef BAOBABRACK_KEYED_TOPIC_END_READER_HPP
#define BAOBABRACK_KEYED_TOPIC_END_READER_HPP

#include <functional>
#include <memory>
#include <vector>

#include "baobabrack/keyed/keyed_log.hpp"

namespace baobabrack {

/// Reads a topic up to the end that it has at the time of a request, so that an answer can say for
/// certain that a record is not stored. Requests that arrive while a read is in flight share the
/// next one, so that a flood of them causes one call after another.
class topic_end_reader {
public:
    struct options {
        topic_id topic;
        duration answer_timeout = std::chrono::milliseconds{800};
    };
    using entry_handler = std::function<void(const keyed_entry&)>;
    /// Receives whether the topic has been read to its end.
    using done_handler = std::function<void(bool)>;

    /// @param next_offset returns the offset up to which the caller has read the topic
    /// @param on_entry    called for each record; it may have been delivered before
    topic_end_reader(keyed_log& log, options opts, std::function<log_offset()> next_offset,
                     entry_handler on_entry);

    /// @param done runs once, asynchronously
    void read_to_end(done_handler done);

private:
    void start();
    void read(log_offset from);
    void handle_page(const result<keyed_page>& page, log_offset from);
    void finish(bool complete);

    keyed_log& log_;
    options options_;
    std::function<log_offset()> next_offset_;
    entry_handler on_entry_;
    // Requests that the read in flight answers, and those that arrived since it was sent.
    std::vector<done_handler> served_;
    std::vector<done_handler> waiting_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack

#endif
