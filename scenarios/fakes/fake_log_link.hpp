#ifndef BAOBABRACK_FAKES_FAKE_LOG_LINK_HPP
#define BAOBABRACK_FAKES_FAKE_LOG_LINK_HPP

#include <string>

#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/services/log_service.hpp"

namespace baobabrack::fakes {

/// One process's way to a log that stands further away than the log's own delay says.
class fake_log_link : public log_service {
public:
    /// @param extra one-way delay that the link adds
    fake_log_link(runtime& loop, log_service& log, duration extra_delay)
        : loop_(loop), log_(log), extra_delay_(extra_delay) {}

    void append(std::string payload, append_callback done) override;
    void read(log_offset from, std::size_t max_entries, read_callback done) override;

private:
    runtime& loop_;
    log_service& log_;
    duration extra_delay_;
};

}  // namespace baobabrack::fakes

#endif
