/** How large calls are. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"

namespace boragetrack::traffic::calls {

/** Returns the bytes of header fields. */
inline std::size_t sizeOf(const std::vector<HeaderField> &headers)
{
    std::size_t bytes = 0;
    for (const HeaderField &field : headers)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

/** Returns the bytes of a request that its caller chose. */
inline std::size_t sizeOf(const CallRequest &request)
{
    return request.target.size() + sizeOf(request.headers) + request.body.size();
}

/** Returns the bytes of an answer that its upstream chose. */
inline std::size_t sizeOf(const CallResponse &answer)
{
    return sizeOf(answer.headers) + answer.body.size();
}

} // namespace boragetrack::traffic::calls
