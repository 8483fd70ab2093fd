/** The product's own headers. */
#pragma once

#include "transport/dialect/CallDialect.h"

namespace boragetrack::transport::dialect {

/** Speaks what docs/PROTOCOLS.md says. @see traffic/calls/CallHeaders.h */
class OwnDialect : public CallDialect
{
public:
    CallDescription describe(const http::RequestHead &head) const override;
    http::ResponseHead refusalHead(const traffic::calls::CallResponse &answer) const override;
    http::HeaderList answerHeaders(const traffic::calls::CallResponse &answer) const override;
    http::HeaderList upstreamHeaders(const traffic::calls::CallRequest &request,
                                     const serving::UpstreamStatus &upstream) const override;
    UpstreamVerdict judge(const http::ResponseHead &head,
                          const traffic::calls::CallRequest &request) const override;
};

} // namespace boragetrack::transport::dialect
