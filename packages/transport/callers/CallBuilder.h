/** Makes calls from callers' requests. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/routing/RouteTarget.h"
#include "transport/dialect/CallDescription.h"
#include "transport/http/RequestHead.h"

#include <optional>
#include <string>

namespace boragetrack::transport::callers {

/** Returns the call that a request asks for, but for its body and its service.
    @param waited the time since the request's head was read */
traffic::calls::CallRequest buildCall(const http::RequestHead &head,
                                      const dialect::CallDescription &description,
                                      const control::intent::ResolvedRoute &entry,
                                      std::chrono::nanoseconds waited);

/** Returns why a call can not be made at all, if so. */
std::optional<std::string> refusalReason(const traffic::calls::CallRequest &call);

} // namespace boragetrack::transport::callers
