#ifndef BAOBABRACK_ENTRY_ENTRY_API_HPP
#define BAOBABRACK_ENTRY_ENTRY_API_HPP

#include <string>

#include "baobabrack/entry/authorization.hpp"
#include "baobabrack/transport/http_server.hpp"

namespace baobabrack {

class entry_node;
class metrics_registry;
class runtime;

/// Routes the HTTP requests of callers, operators and targets to an entry node; docs/api.md
/// describes the paths.
///
/// Calls outside the callers' paths require an operator's token; health, readiness and metrics
/// require none.
class entry_api : public http_handler {
public:
    entry_api(entry_node& node, runtime& loop, metrics_registry& metrics,
              wire::AdministrationSettings administration);

    void handle(http_request request, http_responder responder) override;

private:
    using segments = std::vector<std::string>;

    void handle_workspace(const http_request& request, const http_responder& responder);
    void send_request(const http_request& request, const http_responder& responder);
    void handle_jobs(const http_request& request, const http_responder& responder);
    void handle_job(const http_request& request, const http_responder& responder);
    void submit_job(const http_request& request, const http_responder& responder);
    void cancel_job(const job_id& id, const http_request& request, const http_responder& responder);
    void show_job(const job_id& id, const http_responder& responder);
    void handle_ticket(const http_request& request, const http_responder& responder);
    void apply_ticket(const http_request& request, const http_responder& responder);
    void show_ticket(ticket_number number, const http_responder& responder);
    void diff_ticket(const http_request& request, const http_responder& responder);
    void announce(const http_request& request, const http_responder& responder);
    void show_resource(const http_request& request, const http_responder& responder);
    void show_health(const http_request& request, const http_responder& responder);

    entry_node& node_;
    runtime& loop_;
    metrics_registry& metrics_;
    authorization authorization_;
};

}  // namespace baobabrack

#endif
