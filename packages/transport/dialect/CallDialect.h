/** The interface between HTTP headers of calls and the system's own types. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "traffic/calls/ResponseReference.h"
#include "transport/dialect/CallDescription.h"
#include "transport/dialect/ResponseKind.h"
#include "transport/http/RequestHead.h"
#include "transport/http/ResponseHead.h"
#include "transport/serving/UpstreamStatus.h"

#include <string>

namespace boragetrack::transport::dialect {

/** Translates the headers that one front end's callers and upstreams use; makes no decisions. */
class CallDialect
{
public:
    virtual ~CallDialect() = default;

    //==============================================================================
    /** Returns the metadata of a caller's request. */
    virtual CallDescription describe(const http::RequestHead &head) const = 0;

    /** Returns the head of the response to a call that was refused or whose outcome is unknown. */
    virtual http::ResponseHead refusalHead(const traffic::calls::CallResponse &response) const = 0;

    /** Returns the headers that the caller receives with an upstream's response. */
    virtual http::HeaderList
    responseHeaders(const traffic::calls::CallResponse &response) const = 0;

    /** Returns the name of the header that names the organisation to upstreams. */
    virtual const char *organisationHeader() const = 0;

    //==============================================================================
    /** Returns the headers that the upstream receives with a call. */
    virtual http::HeaderList upstreamHeaders(const traffic::calls::CallRequest &request,
                                             const serving::UpstreamStatus &upstream) const = 0;

    /** Returns what a response read from the upstream means for the call in progress. */
    virtual ResponseKind classifyResponse(const http::ResponseHead &head,
                                          const traffic::calls::CallRequest &request) const = 0;

    /** Returns how a response read from the upstream refers to its request. */
    virtual traffic::calls::ResponseReference referenceOf(const http::ResponseHead &head) const = 0;
};

} // namespace boragetrack::transport::dialect
