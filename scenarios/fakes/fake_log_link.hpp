#ifndef BAOBABRACK_FAKES_FAKE_LOG_LINK_HPP
#define BAOBABRACK_FAKES_FAKE_LOG_LINK_HPP

#include <string>

#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/services/log_service.hpp"

namespace baobabrack::fakes {

/// One process's connection to a log, with a delay in addition to the log's own.
class fake_log_link : public log_service {
public:
    /// @param extra_delay delay that the link adds in each direction
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
