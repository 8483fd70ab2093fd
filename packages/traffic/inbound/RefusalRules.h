/** The rules by which refusals of the upstream are believed. A faulty upstream may write an earlier
    refusal again on a connection that has carried a call. */
#pragma once

#include "traffic/calls/ResponseReference.h"

#include <cstddef>

namespace boragetrack::traffic::inbound {

/** Returns whether a refusal proves that the call in progress did not run. One that lacks its
    identifier may be an earlier one, unless the call is the first on its connection. Without
    identifiers on the interface it counts, since its connection carries no call after it.
    @param earlierCalls the number of calls that the connection carried before */
inline bool provesNotRun(calls::ResponseReference reference, std::size_t earlierCalls)
{
    return reference != calls::ResponseReference::None || earlierCalls == 0;
}

/** Returns whether the connection that carried a refusal may carry another call. Without an
    identifier, that call could not be told from the one refused if the refusal came again. */
inline bool mayReuseAfterRefusal(calls::ResponseReference reference)
{
    return reference == calls::ResponseReference::Identifier;
}

} // namespace boragetrack::traffic::inbound
