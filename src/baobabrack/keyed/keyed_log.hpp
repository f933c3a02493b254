#ifndef BAOBABRACK_KEYED_KEYED_LOG_HPP
#define BAOBABRACK_KEYED_KEYED_LOG_HPP

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

using topic_id = strong_type<struct topic_tag, std::string>;

/// A record of a keyed topic. An empty value deletes the key.
struct keyed_record {
    std::string key;
    std::string value;

    friend bool operator==(const keyed_record&, const keyed_record&) = default;
};

struct keyed_entry {
    log_offset offset;
    keyed_record record;
};

/// A batch of records that is appended as a whole or not at all.
struct keyed_append {
    topic_id topic;
    std::vector<keyed_record> records;
    /// If set, the append succeeds only if the topic ends at this offset.
    std::optional<log_offset> expected_end;
    duration timeout = std::chrono::seconds{1};
};

/// Reply to an append.
struct append_reply {
    /// Whether the records were appended. If not, the topic ended at another offset.
    bool stored = false;
    /// Offset of the first record if the records were appended.
    log_offset first;
    /// End offset of the topic.
    log_offset end;
};

/// What the store takes at most, in bytes.
struct store_limits {
    std::size_t record_bytes = 262'144;
    /// Sum of the records of one append.
    std::size_t request_bytes = 2'097'152;
};

struct keyed_page {
    std::vector<keyed_entry> entries;
    /// End offset of the topic at the time of the read.
    log_offset end;
    /// Set by `list_newest` if there are keys after the last one of this page.
    bool has_more = false;
};

/// Topics of keyed records in the platform's store. The store retains the newest record of each
/// key; older records expire.
///
/// Failures: `unavailable` (the call had no effect), `timed_out` (the call may have taken effect or
/// may still do so), `expired` (the offset is no longer retained), `exhausted` (a limit was
/// reached; the call had no effect), `invalid` (the store refuses these records; the call had no
/// effect).
class keyed_log {
public:
    using append_callback = std::function<void(result<append_reply>)>;
    using page_callback = std::function<void(result<keyed_page>)>;

    keyed_log() = default;
    keyed_log(const keyed_log&) = delete;
    keyed_log& operator=(const keyed_log&) = delete;
    virtual ~keyed_log() = default;

    /// @return what an append may hold; a larger one is refused as `invalid`
    virtual store_limits limits() const = 0;

    /// Appends records. The callback runs once, asynchronously, on the event loop.
    virtual void append(keyed_append request, append_callback done) = 0;

    /// Reads records in order from an offset.
    ///
    /// @param wait    how long the store waits for a record if there is none yet
    /// @param timeout for the reply, in addition to the wait
    virtual void read(const topic_id& topic, log_offset from, duration wait, duration timeout,
                      page_callback done) = 0;

    /// Lists the newest record of each key that sorts after a given key, in key order.
    virtual void list_newest(const topic_id& topic, const std::string& after, duration timeout,
                             page_callback done) = 0;
};

}  // namespace baobabrack

#endif
