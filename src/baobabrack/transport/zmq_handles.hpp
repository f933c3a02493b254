#ifndef BAOBABRACK_TRANSPORT_ZMQ_HANDLES_HPP
#define BAOBABRACK_TRANSPORT_ZMQ_HANDLES_HPP

#include <memory>

namespace baobabrack {

/// Terminates a ZeroMQ context. All of its sockets must be closed before.
struct zmq_context_deleter {
    void operator()(void* handle) const;
};

struct zmq_socket_deleter {
    void operator()(void* handle) const;
};

using zmq_context = std::unique_ptr<void, zmq_context_deleter>;
using zmq_socket = std::unique_ptr<void, zmq_socket_deleter>;

}  // namespace baobabrack

#endif
