#ifndef BAOBABRACK_SERVICES_LOG_SERVICE_HPP
#define BAOBABRACK_SERVICES_LOG_SERVICE_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/ids.hpp"

namespace baobabrack {

/// One appended entry of the log.
struct log_entry {
    log_offset offset;
    std::string payload;
};

/// Consecutive entries of the log.
struct log_page {
    /// Oldest offset that is still retained.
    log_offset oldest;
    /// Offset of the next append.
    log_offset end;
    /// Entries from the requested offset on; empty at the end of the log.
    std::vector<log_entry> entries;
};

/// The platform's append-only log.
///
/// Failures: `unavailable` (nothing was appended), `timed_out` (the entry may have been appended),
/// `exhausted` (the append limit is exceeded, nothing was appended), `expired` (the offset is no
/// longer retained).
class log_service {
public:
    using append_callback = std::function<void(result<log_offset>)>;
    using read_callback = std::function<void(result<log_page>)>;

    log_service() = default;
    log_service(const log_service&) = delete;
    log_service& operator=(const log_service&) = delete;
    virtual ~log_service() = default;

    /// Appends one entry; the callback is called once, later, from the loop.
    virtual void append(std::string payload, append_callback done) = 0;

    /// Reads at most `max_entries` entries from an offset on; may wait briefly at the end of the
    /// log. An offset beyond the end returns an empty page with the log's bounds immediately.
    virtual void read(log_offset from, std::size_t max_entries, read_callback done) = 0;
};

}  // namespace baobabrack

#endif
