/** Decodes outcomes that this version does not know, and responses with an undefined status, as
    Unknown. */
#include "transport/wire/CallCodec.h"

#include "transport/http/ResponseHead.h"

namespace boragetrack::transport::wire {

using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using traffic::calls::HeaderField;
using traffic::calls::LoadReport;

namespace {

capnp::Data::Reader bytesOf(const std::string &text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string textOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

void encodeHeaders(const std::vector<HeaderField> &headers,
                   capnp::List<schema::Header>::Builder list)
{
    for (unsigned int i = 0; i < list.size(); ++i) {
        list[i].setName(headers[i].name);
        list[i].setValue(headers[i].value);
    }
}

std::vector<HeaderField> decodeHeaders(capnp::List<schema::Header>::Reader list)
{
    std::vector<HeaderField> headers;
    headers.reserve(list.size());
    for (const auto header : list)
        headers.push_back(HeaderField{header.getName(), header.getValue()});
    return headers;
}

CallOutcome outcomeFrom(std::uint8_t number)
{
    const auto last = static_cast<std::uint8_t>(CallOutcome::Claimed);
    // The meaning of an outcome that a later version adds is not known, so the call may have run.
    return number <= last ? static_cast<CallOutcome>(number) : CallOutcome::Unknown;
}

// An earlier version of a node passes on what its upstream sent, whatever its status.
void dropInvalidResponse(CallResponse &response)
{
    if (response.outcome != CallOutcome::Completed
        || http::ResponseHead::isDefinedStatus(response.status))
        return;
    response.outcome = CallOutcome::Unknown;
    response.reason
            = "the upstream's response has the undefined status " + std::to_string(response.status);
    response.status = 0;
    response.headers.clear();
    response.body.clear();
}

} // namespace

void encode(const CallRequest &request, schema::CallRequest::Builder message)
{
    message.setMethod(request.method);
    message.setTarget(request.target);
    encodeHeaders(request.headers,
                  message.initHeaders(static_cast<unsigned int>(request.headers.size())));
    message.setBody(bytesOf(request.body));
    message.setRoute(request.route.value());
    message.setService(request.service.value());
    message.setVersion(request.version.value());
    message.setIdempotent(request.isIdempotent);
    message.setKey(request.key.value());
    message.setBudgetMicros(static_cast<std::uint64_t>(request.budget.count()));
    message.setHops(static_cast<std::uint16_t>(request.hops));
    message.setAttempt(static_cast<std::uint16_t>(request.attempt));
    message.setRequestId(request.requestId);
    message.setCallerService(request.callerService.value());
    message.setOrganisation(request.organisation.value());
    message.setPriority(static_cast<std::uint16_t>(request.priority));
    message.setObjectiveMicros(request.objective.count());
    message.setNested(request.isNested);
    message.setIntent(request.intentRevision.number());
    if (request.coldRate)
        message.setColdRate(*request.coldRate);
}

CallRequest decode(schema::CallRequest::Reader message)
{
    CallRequest request;
    request.method = message.getMethod();
    request.target = message.getTarget();
    request.headers = decodeHeaders(message.getHeaders());
    request.body = textOf(message.getBody());
    request.route = core::identity::RouteName(message.getRoute());
    request.service = core::identity::ServiceName(message.getService());
    request.version = core::identity::VersionName(message.getVersion());
    request.isIdempotent = message.getIdempotent();
    request.key = core::identity::IdempotencyKey(message.getKey());
    request.budget = std::chrono::microseconds(message.getBudgetMicros());
    request.hops = message.getHops();
    request.attempt = message.getAttempt();
    request.requestId = message.getRequestId();
    request.callerService = core::identity::ServiceName(message.getCallerService());
    request.organisation = core::identity::OrganisationName(message.getOrganisation());
    request.priority = message.getPriority();
    request.objective = std::chrono::microseconds(message.getObjectiveMicros());
    request.isNested = message.getNested();
    request.intentRevision = core::identity::Revision(message.getIntent());
    if (message.getColdRate() >= 0.0)
        request.coldRate = message.getColdRate();
    return request;
}

void encode(const CallResponse &response, schema::CallAnswer::Builder message)
{
    message.setOutcome(static_cast<std::uint8_t>(response.outcome));
    message.setStatus(static_cast<std::uint16_t>(response.status));
    encodeHeaders(response.headers,
                  message.initHeaders(static_cast<unsigned int>(response.headers.size())));
    message.setBody(bytesOf(response.body));
    message.setReason(response.reason);
    message.setClaimHolder(response.claimHolder.value());
    message.setVersion(response.version.value());
    message.setInFlight(static_cast<std::uint16_t>(response.load.inFlight));
    message.setQueued(static_cast<std::uint16_t>(response.load.queued));
    message.setLimit(static_cast<std::uint16_t>(response.load.limit));
    if (response.retryAfter)
        message.setRetryAfterMillis(static_cast<std::int32_t>(response.retryAfter->count()));
    message.setReachedUpstream(response.reachedUpstream);
    message.setIntent(response.intentRevision.number());
    message.setOutdated(response.isOutdated);
    message.setServedMicros(static_cast<std::uint32_t>(response.serviceTime.count()));
    auto waits = message.initWaitMicros(LoadReport::rankCount);
    for (unsigned int rank = 0; rank < LoadReport::rankCount; ++rank)
        waits.set(rank, static_cast<std::uint32_t>(response.load.waits[rank].count()));
}

CallResponse decode(schema::CallAnswer::Reader message)
{
    CallResponse response;
    response.outcome = outcomeFrom(message.getOutcome());
    response.status = message.getStatus();
    response.headers = decodeHeaders(message.getHeaders());
    response.body = textOf(message.getBody());
    response.reason = message.getReason();
    response.claimHolder = core::identity::NodeId(message.getClaimHolder());
    response.version = core::identity::VersionName(message.getVersion());
    response.load.inFlight = message.getInFlight();
    response.load.queued = message.getQueued();
    response.load.limit = message.getLimit();
    const auto waits = message.getWaitMicros();
    for (unsigned int rank = 0; rank < std::min<std::size_t>(waits.size(), LoadReport::rankCount);
         ++rank)
        response.load.waits[rank] = std::chrono::microseconds(waits[rank]);
    response.serviceTime = std::chrono::microseconds(message.getServedMicros());
    if (message.getRetryAfterMillis() >= 0)
        response.retryAfter = std::chrono::milliseconds(message.getRetryAfterMillis());
    response.reachedUpstream = message.getReachedUpstream();
    response.intentRevision = core::identity::Revision(message.getIntent());
    response.isOutdated = message.getOutdated();
    dropInvalidResponse(response);
    return response;
}

} // namespace boragetrack::transport::wire
