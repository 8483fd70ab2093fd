/** Translates between callers' HTTP and calls. */
#pragma once

#include "traffic/calls/CallAnswer.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/routing/RouteTarget.h"
#include "transport/http/HttpRequest.h"
#include "transport/http/HttpResponse.h"

#include <optional>

namespace boragetrack::daemon::frontends {

/** Returns the call that a request asks for. */
traffic::calls::CallRequest callFrom(const transport::http::HttpRequest &request,
                                     const traffic::routing::RouteTarget &target);

/** Returns why a call may not go on, if so: it is nested too deep or its time is over. */
std::optional<std::string> obstacleTo(const traffic::calls::CallRequest &call);

/** Returns the response that tells a caller the answer to its call: 503 for not run, 504 for
    unknown, and the upstream's own status otherwise. */
transport::http::HttpResponse responseFrom(const traffic::calls::CallAnswer &answer);

} // namespace boragetrack::daemon::frontends
