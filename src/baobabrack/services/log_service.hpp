#ifndef BAOBABRACK_SERVICES_LOG_SERVICE_HPP
#define BAOBABRACK_SERVICES_LOG_SERVICE_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/ids.hpp"

namespace baobabrack {

/// One append of the log, as the service keeps it.
struct log_entry {
    log_offset offset;
    std::string payload;
};

/// A run of the log.
struct log_page {
    /// Oldest offset the service still keeps.
    log_offset oldest;
    /// Offset the next append will get.
    log_offset end;
    /// Consecutive entries from the offset asked for; empty at the end of the log.
    std::vector<log_entry> entries;
};

/// The platform's append-only log.
///
/// Failures: `unavailable` (nothing was appended), `timed_out` (it may have been), `exhausted`
/// (over the append limit, nothing was appended), `expired` (the offset is no longer kept).
class log_service {
public:
    using append_callback = std::function<void(result<log_offset>)>;
    using read_callback = std::function<void(result<log_page>)>;

    log_service() = default;
    log_service(const log_service&) = delete;
    log_service& operator=(const log_service&) = delete;
    virtual ~log_service() = default;

    /// Appends one entry; the callback runs later, once, from the loop.
    virtual void append(std::string payload, append_callback done) = 0;

    /// Reads entries from an offset on, at most `most`; may wait a little at the end of the log.
    /// An offset beyond the end gives an empty page with the log's bounds, at once.
    virtual void read(log_offset from, std::size_t max_entries, read_callback done) = 0;
};

}  // namespace baobabrack

#endif
