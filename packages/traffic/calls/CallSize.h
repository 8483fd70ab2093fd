/** The sizes of calls, for the cost of cross-data-centre traffic. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"

namespace boragetrack::traffic::calls {

/** Returns the size of header names and values in bytes. */
inline std::size_t sizeOf(const std::vector<HeaderField> &headers)
{
    std::size_t bytes = 0;
    for (const HeaderField &field : headers)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

/** Returns the size in bytes of the parts of a request that the caller controls. */
inline std::size_t sizeOf(const CallRequest &request)
{
    return request.target.size() + sizeOf(request.headers) + request.body.size();
}

/** Returns the size in bytes of the parts of a response that the upstream controls. */
inline std::size_t sizeOf(const CallResponse &response)
{
    return sizeOf(response.headers) + response.body.size();
}

} // namespace boragetrack::traffic::calls
