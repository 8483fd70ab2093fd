/** Builds calls from callers' HTTP requests. */
#pragma once

#include "traffic/access/AccessDecision.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/routing/RouteTarget.h"
#include "transport/dialect/CallDescription.h"
#include "transport/http/RequestHead.h"

#include <optional>
#include <random>
#include <string>

namespace boragetrack::transport::callers {

/** Returns the call for a request, without its body and its service. The time budget is the lesser
    of the route's timeout and the caller's own, less the elapsed time.
    @param elapsed the time since the request's head was read */
traffic::calls::CallRequest buildCall(const http::RequestHead &head,
                                      const dialect::CallDescription &description,
                                      const control::intent::ResolvedRoute &entry,
                                      std::chrono::nanoseconds elapsed);

/** The name of the header that carries a caller's key. */
inline constexpr const char *keyHeader = "Authorization";

/** Makes a call one of the organisation that was granted access, with its priority. Removes the key
    and the caller's own value of the header that names the organisation, and separates the
    idempotency keys of organisations, so that none receives the stored response of another.
    @param organisationHeader the name of that header */
void applyAccess(traffic::calls::CallRequest &call, const traffic::access::AccessDecision &access,
                 const char *organisationHeader);

/** Returns the service of a route. Of a split route's services, picks one at random, in proportion
   to the weights. */
core::identity::ServiceName pickService(const control::intent::Route &route,
                                        std::mt19937_64 &random);

/** Returns why a call must be refused before any attempt: it is nested too deep or its time budget
    is used up. @returns nothing when the call may be made */
std::optional<std::string> refusalReason(const traffic::calls::CallRequest &call);

} // namespace boragetrack::transport::callers
