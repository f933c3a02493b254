#ifndef BAOBABRACK_KEYED_KEYED_LOG_HPP
#define BAOBABRACK_KEYED_KEYED_LOG_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

using topic_id = strong_type<struct topic_tag, std::string>;

/// A record of a keyed topic. An empty value drops the key.
struct keyed_record {
    std::string key;
    std::string value;

    friend bool operator==(const keyed_record&, const keyed_record&) = default;
};

struct keyed_entry {
    log_offset offset;
    keyed_record record;
};

/// Records to add, all of them or none.
struct keyed_append {
    topic_id topic;
    std::vector<keyed_record> records;
    /// The append only happens if the topic ends here; without it, it always does.
    std::optional<log_offset> expected_end;
    duration timeout = std::chrono::seconds{1};
};

/// What became of an append that was answered.
struct append_reply {
    /// Whether the records were added; otherwise the topic ended elsewhere.
    bool stored = false;
    /// Offset of the first record, if they were stored.
    log_offset first;
    /// Where the topic ends.
    log_offset end;
};

struct keyed_page {
    std::vector<keyed_entry> entries;
    /// Where the topic ended.
    log_offset end;
    /// Set by `newest` if there are keys after the last one here.
    bool more = false;
};

/// Topics of keyed records, kept by the platform's store: the newest record of each key stays,
/// older ones expire.
///
/// Failures: `unavailable` (nothing was done), `timed_out` (it may have been, or may be later),
/// `expired` (the offset is no longer kept), `exhausted` (a limit; nothing was done).
class keyed_log {
public:
    using append_callback = std::function<void(result<append_reply>)>;
    using page_callback = std::function<void(result<keyed_page>)>;

    keyed_log() = default;
    keyed_log(const keyed_log&) = delete;
    keyed_log& operator=(const keyed_log&) = delete;
    virtual ~keyed_log() = default;

    /// Adds records; the callback runs later, once, from the loop.
    virtual void append(keyed_append request, append_callback done) = 0;

    /// Reads records in order from an offset.
    ///
    /// @param wait    how long to wait for a record if there is none yet
    /// @param timeout for the answer beyond the wait
    virtual void read(const topic_id& topic, log_offset from, duration wait, duration timeout,
                      page_callback done) = 0;

    /// Lists the newest record of each key after a key, in the order of keys.
    virtual void newest(const topic_id& topic, const std::string& after, duration timeout,
                        page_callback done) = 0;
};

}  // namespace baobabrack

#endif
