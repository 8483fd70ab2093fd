/** How callers and upstreams say what the system needs to know. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "transport/dialect/CallDescription.h"
#include "transport/dialect/ResponseKind.h"
#include "transport/http/RequestHead.h"
#include "transport/http/ResponseHead.h"
#include "transport/serving/UpstreamStatus.h"

#include <string>

namespace boragetrack::transport::dialect {

/** Translates between HTTP headers and the system's own types, and decides nothing. */
class CallDialect
{
public:
    virtual ~CallDialect() = default;

    //==============================================================================
    /** Returns what a caller's request says of itself. */
    virtual CallDescription describe(const http::RequestHead &head) const = 0;

    /** Returns the head of the answer to a call that no upstream answered. */
    virtual http::ResponseHead refusalHead(const traffic::calls::CallResponse &answer) const = 0;

    /** Returns the answer's headers as callers get them. */
    virtual http::HeaderList responseHeaders(const traffic::calls::CallResponse &answer) const = 0;

    //==============================================================================
    /** Returns the headers of a call as the upstream gets them. */
    virtual http::HeaderList upstreamHeaders(const traffic::calls::CallRequest &request,
                                             const serving::UpstreamStatus &upstream) const = 0;

    /** Returns what a response says of the call that it is read for. */
    virtual ResponseKind classifyResponse(const http::ResponseHead &head,
                                          const traffic::calls::CallRequest &request) const = 0;
};

} // namespace boragetrack::transport::dialect
