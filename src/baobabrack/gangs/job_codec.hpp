#ifndef BAOBABRACK_GANGS_JOB_CODEC_HPP
#define BAOBABRACK_GANGS_JOB_CODEC_HPP

#include <string>
#include <string_view>

#include "baobabrack/units/failure.hpp"

namespace baobabrack {

class job_state;

/// Writes a job state as a section of a snapshot, and reads it back.
class job_codec {
public:
    /// @return the whole state; equal states give equal bytes
    static std::string save(const job_state& state);

    /// Replaces the state.
    ///
    /// @return `invalid` if the bytes are not such a section; the state is then unchanged
    static result<void> load(job_state& state, std::string_view data);
};

}  // namespace baobabrack

#endif
