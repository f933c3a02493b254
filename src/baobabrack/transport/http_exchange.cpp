#include "baobabrack/transport/http_exchange.hpp"

namespace baobabrack {

std::string_view to_string(http_completion completion) {
    switch (completion) {
        case http_completion::answered:
            return "answered";
        case http_completion::not_sent:
            return "not-sent";
        case http_completion::broken:
            return "broken";
        case http_completion::timed_out:
            return "timed-out";
    }
    return "broken";
}

}  // namespace baobabrack
