/** The call headers of the product's native interface. */
#pragma once

#include "transport/dialect/CallDialect.h"

namespace boragetrack::transport::dialect {

/** Reads and writes the headers that docs/PROTOCOLS.md defines.
    @see traffic/calls/CallHeaders.h */
class NativeDialect : public CallDialect
{
public:
    CallDescription describe(const http::RequestHead &head) const override;
    http::ResponseHead refusalHead(const traffic::calls::CallResponse &response) const override;
    http::HeaderList responseHeaders(const traffic::calls::CallResponse &response) const override;
    const char *organisationHeader() const override;
    http::HeaderList upstreamHeaders(const traffic::calls::CallRequest &request,
                                     const serving::UpstreamStatus &upstream) const override;
    ResponseKind classifyResponse(const http::ResponseHead &head,
                                  const traffic::calls::CallRequest &request) const override;
    traffic::calls::ResponseReference referenceOf(const http::ResponseHead &head) const override;
};

} // namespace boragetrack::transport::dialect
