#include "baobabrack/ledger/ticket_json.hpp"

namespace baobabrack {

ticket_reading read_ticket(std::string_view json) {
    ticket_reading reading;
    if (json.size() > max_ticket_bytes) {
        reading.problems.push_back({"",
                                    "has " + std::to_string(json.size()) +
                                        " bytes; expected at most " +
                                        std::to_string(max_ticket_bytes) + " bytes",
                                    "split the change into several tickets"});
        return reading;
    }
    reading.problems = parse_strict_json(json, reading.ticket);
    return reading;
}

}  // namespace baobabrack
