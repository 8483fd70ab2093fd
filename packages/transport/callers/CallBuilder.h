/** Builds calls from callers' HTTP requests. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/routing/RouteTarget.h"
#include "transport/dialect/CallDescription.h"
#include "transport/http/RequestHead.h"

#include <optional>
#include <string>

namespace boragetrack::transport::callers {

/** Returns the call for a request, without its body and its service. The time budget is the lesser
    of the route's timeout and the caller's own, less the elapsed time.
    @param elapsed the time since the request's head was read */
traffic::calls::CallRequest buildCall(const http::RequestHead &head,
                                      const dialect::CallDescription &description,
                                      const control::intent::ResolvedRoute &entry,
                                      std::chrono::nanoseconds elapsed);

/** Returns why a call must be refused before any attempt: it is nested too deep or its time budget
    is used up. @returns nothing when the call may be made */
std::optional<std::string> refusalReason(const traffic::calls::CallRequest &call);

} // namespace boragetrack::transport::callers
