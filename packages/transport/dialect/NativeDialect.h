/** The product's own headers. */
#pragma once

#include "transport/dialect/CallDialect.h"

namespace boragetrack::transport::dialect {

/** Speaks what docs/PROTOCOLS.md says. @see traffic/calls/CallHeaders.h */
class NativeDialect : public CallDialect
{
public:
    CallDescription describe(const http::RequestHead &head) const override;
    http::ResponseHead refusalHead(const traffic::calls::CallResponse &answer) const override;
    http::HeaderList responseHeaders(const traffic::calls::CallResponse &answer) const override;
    http::HeaderList upstreamHeaders(const traffic::calls::CallRequest &request,
                                     const serving::UpstreamStatus &upstream) const override;
    ResponseKind classifyResponse(const http::ResponseHead &head,
                                  const traffic::calls::CallRequest &request) const override;
};

} // namespace boragetrack::transport::dialect
