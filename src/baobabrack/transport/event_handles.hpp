#ifndef BAOBABRACK_TRANSPORT_EVENT_HANDLES_HPP
#define BAOBABRACK_TRANSPORT_EVENT_HANDLES_HPP

#include <memory>

struct event;
struct event_base;
struct evhttp;
struct evhttp_connection;

namespace baobabrack {

/// Deleter for libevent objects.
struct event_deleter {
    void operator()(event* handle) const;
    void operator()(event_base* handle) const;
    void operator()(evhttp* handle) const;
    void operator()(evhttp_connection* handle) const;
};

using event_handle = std::unique_ptr<event, event_deleter>;
using event_base_handle = std::unique_ptr<event_base, event_deleter>;
using evhttp_handle = std::unique_ptr<evhttp, event_deleter>;
using evhttp_connection_handle = std::unique_ptr<evhttp_connection, event_deleter>;

/// Owns a file descriptor and closes it on destruction.
class file_descriptor {
public:
    explicit file_descriptor(int descriptor) : descriptor_(descriptor) {}
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;
    ~file_descriptor();

    int get() const { return descriptor_; }

private:
    int descriptor_;
};

}  // namespace baobabrack

#endif
