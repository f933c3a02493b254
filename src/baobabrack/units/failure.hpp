#ifndef BAOBABRACK_UNITS_FAILURE_HPP
#define BAOBABRACK_UNITS_FAILURE_HPP

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <iosfwd>
#include <string>
#include <string_view>

namespace baobabrack {

/// Category of an error, on which a caller bases its reaction.
enum class failure_kind {
    /// The input violates a rule; a retry with the same input fails again.
    invalid,
    /// The named object does not exist.
    not_found,
    /// A concurrent or earlier operation has already changed the object.
    conflict,
    /// The peer cannot be reached; the operation had no effect.
    unavailable,
    /// The peer did not answer in time; the operation may have taken effect.
    timed_out,
    /// A limit is reached; the operation had no effect.
    exhausted,
    /// A newer grant or incarnation has fenced the caller off.
    fenced,
    /// The requested data is past its retention.
    expired,
    /// The caller lacks the permission for this operation.
    forbidden,
};

/// @return the name of the kind as written in refusals, logs and metrics
std::string_view to_string(failure_kind kind);

/// An error: its kind, a description, and a remedy that the reader can apply.
struct failure {
    failure_kind kind = failure_kind::invalid;
    std::string message;
    std::string remedy;
};

/// Writes "message (remedy)", or the message alone if there is no remedy.
std::ostream& operator<<(std::ostream& out, const failure& error);

/// Holds a value or a failure. Access to the one that it does not hold terminates the process.
template <typename Value>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<Value, failure,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

}  // namespace baobabrack

#endif
