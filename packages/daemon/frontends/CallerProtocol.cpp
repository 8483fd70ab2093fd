/** Implements the callers' protocol. */
#include "daemon/frontends/CallerProtocol.h"

#include "traffic/calls/CallHeaders.h"

#include <algorithm>
#include <cstdlib>

namespace boragetrack::daemon::frontends {

using traffic::calls::CallAnswer;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::HeaderField;
using transport::http::HttpRequest;
using transport::http::HttpResponse;

namespace {

constexpr int notRunStatus = 503;
constexpr int unknownStatus = 504;

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// Returns the number in a header, or the default when the header is absent or not a number.
long numberIn(const HttpRequest &request, const char *name, long missing)
{
    const std::string text = request.header(name);
    char *end = nullptr;
    const long number = std::strtol(text.c_str(), &end, 10);
    return text.empty() || *end != '\0' ? missing : number;
}

HttpResponse refusal(int status, const char *outcome, const std::string &reason)
{
    return HttpResponse{
            status,
            {{traffic::calls::outcomeHeader, outcome}, {traffic::calls::reasonHeader, reason}},
            reason + "\n"};
}

} // namespace

CallRequest callFrom(const HttpRequest &request, const traffic::routing::RouteTarget &target)
{
    const auto &route = target.entry.route;
    CallRequest call;
    call.method = request.method;
    call.target = request.target;
    call.headers = request.headers;
    call.body = request.body;
    call.route = route.name;
    call.service = route.service;
    call.isIdempotent = route.isIdempotent || isSafeMethod(request.method);
    call.key = core::identity::IdempotencyKey(request.header(traffic::calls::idempotencyKeyHeader));
    const std::chrono::milliseconds allowed = target.entry.settings.callTimeout;
    const std::chrono::milliseconds asked(
            numberIn(request, traffic::calls::deadlineHeader, allowed.count()));
    call.budget = std::min(allowed, asked);
    call.hops = static_cast<int>(numberIn(request, traffic::calls::hopCountHeader, 0)) + 1;
    call.attempt = static_cast<int>(numberIn(request, traffic::calls::attemptHeader, 1));
    return call;
}

std::optional<std::string> obstacleTo(const CallRequest &call)
{
    if (call.hops > traffic::calls::maximumHops)
        return "calls are nested deeper than " + std::to_string(traffic::calls::maximumHops);
    if (call.budget <= std::chrono::microseconds::zero())
        return "the deadline is over";
    return std::nullopt;
}

HttpResponse responseFrom(const CallAnswer &answer)
{
    if (answer.outcome == CallOutcome::NotRun)
        return refusal(notRunStatus, "not-run", answer.reason);
    if (answer.outcome != CallOutcome::Answered)
        return refusal(unknownStatus, "unknown", answer.reason);
    HttpResponse response{answer.status, answer.headers, answer.body};
    response.headers.push_back(HeaderField{traffic::calls::versionHeader, answer.version.value()});
    if (answer.isFailure())
        response.headers.push_back(HeaderField{traffic::calls::outcomeHeader, "ran-and-failed"});
    return response;
}

} // namespace boragetrack::daemon::frontends
