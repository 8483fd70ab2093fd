/** Counts and starts calls. */
#include "transport/callers/CallerServer.h"

#include "transport/callers/CallerServerCall.h"

namespace boragetrack::transport::callers {

CallerServer::CallerServer(Dependencies dependencies)
    : dependencies_(std::move(dependencies))
    , calls_(dependencies_.counters.counter("calls"))
    , attempts_(dependencies_.counters.counter("call_attempts"))
    , refusals_(dependencies_.counters.counter("calls_not_run"))
    , unknowns_(dependencies_.counters.counter("calls_unknown"))
    , accessRefusals_(dependencies_.counters.counter("access_refused"))
    , callersLeft_(dependencies_.counters.counter("calls_caller_left"))
    , cutCalls_(dependencies_.counters.counter("calls_cut"))
    , crossDataCentreBytes_(dependencies_.counters.counter("call_bytes_other_data_centres"))
    , latencies_(dependencies_.counters, "call")
{
    loads_.reachability().setListener(&reachabilityLog_);
}

kj::Promise<void> CallerServer::handle(http::ServerExchange &exchange)
{
    calls_.add();
    auto call = kj::heap<Call>(*this, exchange);
    Call &started = *call;
    auto running = started.run().catch_([&started](kj::Exception &&exception) -> kj::Promise<void> {
        started.handleFault(exception);
        return kj::mv(exception);
    });
    return running.attach(kj::mv(call));
}

bool CallerServer::isConcurrent(const http::RequestHead &head) const
{
    const auto snapshot = dependencies_.routing.current();
    if (!snapshot->isServing)
        return false;
    const auto *target = snapshot->targetFor(dependencies_.dialect.describe(head).host,
                                             head.target.substr(0, head.target.find('?')));
    return target != nullptr && target->entry.route.isIdempotent;
}

http::ServerLimits CallerServer::limits() const
{
    const auto snapshot = dependencies_.routing.current();
    const auto &limits = snapshot->intent->document().callerLimits;
    return http::ServerLimits{
            {limits.headerBytes, limits.bodyBytes}, limits.headerTimeout, limits.idleTimeout};
}

} // namespace boragetrack::transport::callers
