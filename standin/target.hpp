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

/// What a target does with the requests that come in.
enum class target_mode {
    ordinary,
    /// Works ten times as long.
    slow,
    /// Runs requests and never answers.
    stall,
    /// Answers status 500 at once without running anything.
    black_hole,
    /// Refuses with the proof that nothing ran.
    refuse,
    /// Answers with fewer bytes than announced.
    truncate,
    /// Answers with another request's id.
    cross,
};

std::string to_string(target_mode mode);

/// One target: an HTTP server that works for a while on each request and notes what it ran.
class target : public http_handler {
public:
    /// @param runs where to write a line for each run before it starts; null for nowhere
    target(event_runtime& loop, const target_config& config, std::ostream* run_output);

    void handle(http_request request, http_responder responder) override;

    /// @return the next announcement
    wire::TargetAnnouncement next_announcement();

    /// Announces leaving from now on; requests still run.
    void leave() { announcement_.set_leaving(true); }

    /// Comes back under a new incarnation.
    void rejoin();

    /// @return whether there is such a mode
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
