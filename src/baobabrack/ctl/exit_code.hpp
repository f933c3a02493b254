#ifndef BAOBABRACK_CTL_EXIT_CODE_HPP
#define BAOBABRACK_CTL_EXIT_CODE_HPP

namespace baobabrack::ctl {

/// Exit codes of baobabrackctl.
enum class exit_code {
    ok = 0,
    /// The entry refused the request, the watched job failed or was cancelled, or `why` found no
    /// event, or `losses` no line of a leader.
    refused = 1,
    /// The command line or an input file is invalid.
    usage = 2,
    /// No entry could be reached; nothing was done.
    unreachable = 3,
    /// The request was sent and no conclusive response arrived; it may have taken effect.
    unknown = 4,
};

}  // namespace baobabrack::ctl

#endif
