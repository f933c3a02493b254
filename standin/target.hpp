#ifndef BAOBABRACK_STANDIN_TARGET_HPP
#define BAOBABRACK_STANDIN_TARGET_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include "baobabrack/standin.pb.h"
#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_server.hpp"
#include "standin/services.hpp"

namespace baobabrack::standin {

/// How a target treats incoming requests.
enum class target_mode {
    ordinary,
    /// Takes ten times as long.
    slow,
    /// Runs requests without ever answering them.
    stall,
    /// Answers status 500 immediately, without running the request.
    black_hole,
    /// Refuses every request with status 503 and `X-Ran: no`, which states that it did not run.
    refuse,
    /// Sends fewer bytes than `Content-Length` announces.
    truncate,
    /// Answers with the id of another request.
    cross,
};

std::string to_string(target_mode mode);

/// One target: an HTTP server that runs each request for its work time and records what it ran.
class target : public http_handler {
public:
    /// @param run_output receives a line for each run before the run starts; may be null
    target(event_runtime& loop, const target_config& config, std::ostream* run_output);

    void handle(http_request request, http_responder responder) override;

    /// Increments the sequence number.
    ///
    /// @return the announcement to send
    wire::TargetAnnouncement next_announcement();

    /// Marks all announcements until `rejoin` as leaving; requests are still run.
    void leave() { announcement_.set_leaving(true); }

    /// Returns to service in ordinary mode with a new incarnation.
    void rejoin();

    /// @return whether the mode exists; an unknown mode changes nothing
    bool set_mode(const std::string& mode);

    const std::string& id() const { return announcement_.target(); }
    const wire::RanList& ran() const { return ran_; }
    wire::StandinTargetState state() const;
    bool idle() const { return announcement_.running() == 0; }

private:
    void print_run(const wire::RanRequest& run);
    void finish(const http_request& request, const http_responder& responder, int index);
    duration work_time_for(const http_request& request) const;
    http_response make_answer(const http_request& request) const;

    event_runtime& loop_;
    wire::TargetAnnouncement announcement_;
    duration work_time_;
    std::ostream* run_output_;
    target_mode mode_ = target_mode::ordinary;
    wire::RanList ran_;
    std::string last_request_id_;
    std::uint64_t refused_ = 0;
    http_server server_;
};

}  // namespace baobabrack::standin

#endif
