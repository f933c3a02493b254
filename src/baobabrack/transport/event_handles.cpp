#include "baobabrack/transport/event_handles.hpp"

#include <event2/event.h>
#include <event2/http.h>
#include <unistd.h>

namespace baobabrack {

void event_deleter::operator()(event* handle) const {
    event_free(handle);
}

void event_deleter::operator()(event_base* handle) const {
    event_base_free(handle);
}

void event_deleter::operator()(evhttp* handle) const {
    evhttp_free(handle);
}

void event_deleter::operator()(evhttp_connection* handle) const {
    evhttp_connection_free(handle);
}

file_descriptor::~file_descriptor() {
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

}  // namespace baobabrack
