/** The rule by which a refusal of the upstream is believed. */
#pragma once

#include <cstddef>

namespace boragetrack::traffic::inbound {

/** Returns whether a refusal proves that the call in progress did not run. One that names no
   request may be an earlier one that the upstream wrote again, unless the call is the first on its
    connection.
    @param lacksRequestId whether the refusal names no request although the upstream's interface
                          provides for it
    @param earlierCalls the number of calls that the connection carried before */
inline bool provesNotRun(bool lacksRequestId, std::size_t earlierCalls)
{
    return !lacksRequestId || earlierCalls == 0;
}

} // namespace boragetrack::traffic::inbound
