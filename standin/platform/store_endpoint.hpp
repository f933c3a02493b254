#ifndef BAOBABRACK_STANDIN_PLATFORM_STORE_ENDPOINT_HPP
#define BAOBABRACK_STANDIN_PLATFORM_STORE_ENDPOINT_HPP

#include "baobabrack/transport/http_server.hpp"
#include "fakes/fake_store.hpp"

namespace baobabrack::standin {

/// Serves the platform's store over HTTP: appends, long-polling reads, and listings of the newest
/// record of each key, over topics in memory.
class store_endpoint : public http_handler {
public:
    explicit store_endpoint(runtime& loop) : store_(loop), link_(loop, store_) {}

    void handle(http_request request, http_responder responder) override;

    /// Publishes the operator's configuration.
    ///
    /// @param text the configuration as a JSON document
    void publish(const std::string& text);

private:
    void append(const http_request& request, const http_responder& responder);
    void read(const http_request& request, const http_responder& responder);
    void newest_records(const http_request& request, const http_responder& responder);

    fakes::fake_store store_;
    fakes::fake_store_link link_;
};

}  // namespace baobabrack::standin

#endif
