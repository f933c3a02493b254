#ifndef BAOBABRACK_UNITS_IDS_HPP
#define BAOBABRACK_UNITS_IDS_HPP

#include <cstdint>
#include <string>

#include "baobabrack/units/strong_type.hpp"

namespace baobabrack {

using worker_id = strong_type<struct worker_tag, std::string>;
using rack_id = strong_type<struct rack_tag, std::string>;
using data_centre_id = strong_type<struct data_centre_tag, std::string>;
using region_id = strong_type<struct region_tag, std::string>;
using workspace_id = strong_type<struct workspace_tag, std::string>;
using service_id = strong_type<struct service_tag, std::string>;
using target_id = strong_type<struct target_tag, std::string>;
using entry_id = strong_type<struct entry_tag, std::string>;
using job_id = strong_type<struct job_tag, std::string>;
using idempotency_key = strong_type<struct idempotency_key_tag, std::string>;

/// Sequence number of an attempt of a job, starting at 1.
using attempt_number = strong_type<struct attempt_tag, std::uint32_t>;

/// Offset of a record in the platform's log; also the fencing token of every grant that the record
/// makes.
using log_offset = strong_type<struct log_offset_tag, std::uint64_t>;

/// Generation number of a process or host; increases with every restart or replacement.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

using ticket_number = strong_type<struct ticket_tag, std::uint64_t>;

}  // namespace baobabrack

#endif
