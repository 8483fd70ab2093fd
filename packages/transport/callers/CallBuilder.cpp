/** Derives a call from the request's head, its route and the time already spent on it. */
#include "transport/callers/CallBuilder.h"

#include "traffic/calls/CallHeaders.h"
#include "transport/http/MessageWriter.h"

namespace boragetrack::transport::callers {

using traffic::calls::CallRequest;

CallRequest buildCall(const http::RequestHead &head, const dialect::CallDescription &description,
                      const control::intent::ResolvedRoute &entry, std::chrono::nanoseconds elapsed)
{
    const auto &route = entry.route;
    CallRequest call;
    call.requestId = description.requestId;
    call.method = head.method;
    call.target = head.target;
    call.headers = http::endToEndHeaders(head.headers);
    call.route = route.name;
    call.isIdempotent = route.isIdempotent || description.hasSafeMethod;
    call.isNested = description.hops > 1;
    call.priority = route.priority;
    call.key = description.key;
    const std::chrono::milliseconds allowed = entry.settings.callTimeout;
    const auto left = std::min(allowed, description.timeLeft.value_or(allowed));
    call.budget = std::chrono::duration_cast<std::chrono::microseconds>(left - elapsed);
    call.objective = std::chrono::duration_cast<std::chrono::microseconds>(route.latencyObjective
                                                                           - elapsed);
    call.hops = description.hops;
    call.attempt = description.attempt;
    return call;
}

void applyAccess(CallRequest &call, const traffic::access::AccessDecision &access,
                 const char *organisationHeader)
{
    std::erase_if(call.headers, [&](const traffic::calls::HeaderField &field) {
        return http::equalsIgnoreCase(field.name, keyHeader)
               || http::equalsIgnoreCase(field.name, organisationHeader);
    });
    call.organisation = access.organisation;
    call.priority = access.priority.value_or(call.priority);
    // No header contains a line feed, so that different pairs give different keys.
    if (!call.key.isEmpty())
        call.key = core::identity::IdempotencyKey(access.organisation.value() + "\n"
                                                  + call.key.value());
}

core::identity::ServiceName pickService(const control::intent::Route &route,
                                        std::mt19937_64 &random)
{
    if (route.split.empty())
        return route.service;
    double total = 0.0;
    for (const auto &part : route.split)
        total += part.weight;
    double point = std::uniform_real_distribution<>(0.0, total)(random);
    for (const auto &part : route.split) {
        point -= part.weight;
        if (point < 0.0)
            return part.service;
    }
    return route.split.back().service;
}

std::optional<std::string> refusalReason(const CallRequest &call)
{
    if (call.hops > traffic::calls::maximumHops)
        return "calls are nested deeper than " + std::to_string(traffic::calls::maximumHops);
    if (call.isExpired())
        return "the deadline has passed";
    return std::nullopt;
}

} // namespace boragetrack::transport::callers
