/** Maps outcomes to status 503 (not run), 504 (unknown), 404 (no route) and 401 (no valid key).
   Numbers in headers that can not be parsed count as absent. */
#include "transport/dialect/NativeDialect.h"

#include "traffic/calls/CallHeaders.h"
#include "transport/dialect/OrganisationField.h"
#include "transport/http/MessageWriter.h"

#include <array>
#include <cstdlib>

namespace boragetrack::transport::dialect {

using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using traffic::calls::HeaderField;
using traffic::calls::ResponseReference;

namespace {

constexpr int notRunStatus = 503;
constexpr int unknownStatus = 504;
constexpr int notFoundStatus = 404;
constexpr int unauthorizedStatus = 401;

// Headers that upstreamHeaders() sets itself; a caller's values are not forwarded.
constexpr std::array reservedHeaders{"Host", traffic::calls::deadlineHeader,
                                     traffic::calls::hopCountHeader, traffic::calls::attemptHeader};

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// Returns the number in a header, or the default when the header is absent or not a number.
long numberIn(const http::HeaderList &headers, const char *name, long defaultValue)
{
    const std::string *text = http::findHeader(headers, name);
    if (text == nullptr || text->empty())
        return defaultValue;
    char *end = nullptr;
    const long number = std::strtol(text->c_str(), &end, 10);
    return *end != '\0' ? defaultValue : number;
}

bool isReserved(const std::string &name)
{
    for (const char *reserved : reservedHeaders) {
        if (http::equalsIgnoreCase(name, reserved))
            return true;
    }
    return false;
}

} // namespace

CallDescription NativeDialect::describe(const http::RequestHead &head) const
{
    CallDescription description;
    if (const long left = numberIn(head.headers, traffic::calls::deadlineHeader, -1); left >= 0)
        description.timeLeft = std::chrono::milliseconds(left);
    if (const std::string *key
        = http::findHeader(head.headers, traffic::calls::idempotencyKeyHeader))
        description.key = core::identity::IdempotencyKey(*key);
    description.hasSafeMethod = isSafeMethod(head.method);
    description.hops
            = static_cast<int>(numberIn(head.headers, traffic::calls::hopCountHeader, 0)) + 1;
    description.attempt
            = static_cast<int>(numberIn(head.headers, traffic::calls::attemptHeader, 1));
    return description;
}

http::ResponseHead NativeDialect::refusalHead(const CallResponse &response) const
{
    const bool isNotRun = response.outcome == CallOutcome::NotRun;
    http::ResponseHead head{isNotRun ? notRunStatus : unknownStatus, {}};
    if (isNotRun && (response.status == notFoundStatus || response.status == unauthorizedStatus))
        head.status = response.status;
    head.headers.push_back({traffic::calls::outcomeHeader, isNotRun ? "not-run" : "unknown"});
    head.headers.push_back({traffic::calls::reasonHeader, response.reason});
    if (head.status == unauthorizedStatus)
        head.headers.push_back({"WWW-Authenticate", "Bearer"});
    return head;
}

http::HeaderList NativeDialect::responseHeaders(const CallResponse &response) const
{
    http::HeaderList headers = response.headers;
    headers.push_back(HeaderField{traffic::calls::versionHeader, response.version.value()});
    if (response.isFailure())
        headers.push_back(HeaderField{traffic::calls::outcomeHeader, "ran-and-failed"});
    return headers;
}

const char *NativeDialect::organisationHeader() const
{
    return traffic::calls::organisationHeader;
}

http::HeaderList NativeDialect::upstreamHeaders(const CallRequest &request,
                                                const serving::UpstreamStatus &upstream) const
{
    http::HeaderList headers{{"Host", upstream.address.toString()}};
    for (const HeaderField &field : request.headers) {
        if (!isReserved(field.name))
            headers.push_back(field);
    }
    headers.push_back(
            {traffic::calls::deadlineHeader, std::to_string(request.budget.count() / 1000)});
    headers.push_back({traffic::calls::hopCountHeader, std::to_string(request.hops)});
    headers.push_back({traffic::calls::attemptHeader, std::to_string(request.attempt)});
    setOrganisationField(headers, organisationHeader(), request);
    return headers;
}

ResponseKind NativeDialect::classifyResponse(const http::ResponseHead &head,
                                             const CallRequest & /*request*/) const
{
    const bool isShed = head.status == notRunStatus
                        && http::findHeader(head.headers, traffic::calls::shedHeader) != nullptr;
    return isShed ? ResponseKind::NotRun : ResponseKind::Completed;
}

ResponseReference NativeDialect::referenceOf(const http::ResponseHead & /*head*/) const
{
    return ResponseReference::Position;
}

} // namespace boragetrack::transport::dialect
