#include "baobabrack/transport/zmq_handles.hpp"

#include <zmq.h>

namespace baobabrack {

void zmq_context_deleter::operator()(void* handle) const {
    zmq_ctx_term(handle);
}

void zmq_socket_deleter::operator()(void* handle) const {
    zmq_close(handle);
}

}  // namespace baobabrack
