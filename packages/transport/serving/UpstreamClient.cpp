/** A connection returns to the pool only after a complete request and response, unless the response
    is a refusal that could be taken for one of the next call. Once a request may have been written,
    any failure is reported as an unknown outcome. */
#include "transport/serving/UpstreamClient.h"

#include "core/counters/ScopedCount.h"
#include "traffic/inbound/RefusalRules.h"
#include "transport/http/AwaitedRoom.h"
#include "transport/http/KeepAlive.h"
#include "transport/http/MessageWriter.h"
#include "transport/timing/Deadline.h"

#include <algorithm>
#include <cstdlib>

namespace boragetrack::transport::serving {

using core::timing::MonotonicTime;
using dialect::ResponseKind;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using traffic::calls::ResponseReference;

namespace {

// The upstream may close an idle connection while a request is on its way to it.
constexpr std::chrono::seconds idleMargin{1};
// A longer timeout in the upstream's header reads as this one.
constexpr std::chrono::hours maximumIdleTimeout{1};
// The largest body that is copied in order to write it together with the head.
constexpr std::size_t maximumJoinedBytes = std::size_t{64} * 1024;
// How long a response waits for room before callers are closed that still take theirs. Callers that
// take nothing count as idle by then.
constexpr std::chrono::milliseconds roomWait{500};
// Callers become idle without a notification, so those that wait for room look again.
constexpr std::chrono::milliseconds roomRetryInterval{50};

MonotonicTime currentTime()
{
    return std::chrono::steady_clock::now();
}

kj::Duration toKj(std::chrono::nanoseconds time)
{
    return time.count() * kj::NANOSECONDS;
}

// Returns the idle timeout in the upstream's Keep-Alive header less a margin, or the default.
std::chrono::milliseconds idleTimeoutFrom(const http::HeaderList &headers)
{
    const std::string *keepAlive = http::findHeader(headers, "Keep-Alive");
    const std::size_t at = keepAlive == nullptr ? std::string::npos : keepAlive->find("timeout=");
    if (at == std::string::npos)
        return UpstreamClient::defaultIdleTimeout;
    const std::chrono::seconds timeout(std::atol(keepAlive->c_str() + at + 8));
    return std::clamp<std::chrono::seconds>(timeout, idleMargin, maximumIdleTimeout) - idleMargin;
}

} // namespace

/** Sends one call on one connection and reads its response. */
class UpstreamClient::Exchange
{
public:
    Exchange(UpstreamClient &client, Connection connection, const CallRequest &request,
             const UpstreamStatus &upstream)
        : client_(client)
        , connection_(kj::mv(connection))
        , earlierCalls_(connection_->beginCall())
        , request_(request)
        , requestText_(http::serializeHead(
                  http::RequestHead{request.method, request.target,
                                    client.dialect_.upstreamHeaders(request, upstream)},
                  request.body.size()))
    {
        if (isBodyJoined())
            requestText_ += request.body;
    }

    kj::Promise<CallResponse> run()
    {
        // The response may arrive before the body is written, so reading must not wait for the
        // write to end.
        auto written = writeRequest()
                               .then([this]() { isRequestWritten_ = true; })
                               .catch_([](kj::Exception && /*exception*/) {
                                   // The reader detects a broken connection as well.
                               })
                               .eagerlyEvaluate(nullptr);
        return readResponse().attach(kj::mv(written));
    }

private:
    // A small body is written together with the head, a large one is not copied.
    bool isBodyJoined() const { return request_.body.size() <= maximumJoinedBytes; }

    kj::Promise<void> writeRequest()
    {
        http::ReadAheadStream &stream = connection_->stream();
        auto written = stream.write(kj::arrayPtr(requestText_.data(), requestText_.size()));
        if (isBodyJoined())
            return written;
        return written.then([this, &stream]() {
            return stream.write(kj::arrayPtr(request_.body.data(), request_.body.size()));
        });
    }

    kj::Promise<CallResponse> readResponse()
    {
        return connection_->reader()
                .readHead(!isHeadRequest())
                .then([this](http::MessageReader<http::ResponseHead>::HeadResult &&result)
                              -> kj::Promise<CallResponse> {
                    if (auto *head = std::get_if<http::ResponseHead>(&result))
                        return handleHead(std::move(*head));
                    if (auto *fault = std::get_if<http::MessageFault>(&result))
                        return unknownOutcome("the upstream's response is malformed: "
                                              + fault->reason);
                    return unknownOutcome("the upstream closed the connection without responding");
                });
    }

    // A body that will not be delivered is not kept: a faulty upstream may send it without end.
    kj::Promise<CallResponse> handleHead(http::ResponseHead head)
    {
        const ResponseKind kind = client_.dialect_.classifyResponse(head, request_);
        if (kind == ResponseKind::OtherRequest) {
            if (++foreignResponses_ > maximumForeignResponses)
                return unknownOutcome("the upstream responds to other requests only");
            return skipBody(maximumResponseBytes);
        }
        if (kind == ResponseKind::Malformed)
            return unknownOutcome("the upstream's response lacks a field that identifies it");
        if (kind == ResponseKind::UnprovenRefusal)
            return unknownOutcome(
                    "the upstream's refusal does not state that the call did not run");
        return readBody(std::move(head), kind);
    }

    // Drops the body of this response, then reads the next one.
    kj::Promise<CallResponse> skipBody(std::size_t limit)
    {
        return connection_->reader().readBody().then(
                [this, limit](http::BodyPiece &&piece) -> kj::Promise<CallResponse> {
                    if (piece.isLast)
                        return readResponse();
                    if (piece.bytes.size() >= limit)
                        return unknownOutcome("a response to another request is too large");
                    return skipBody(limit - piece.bytes.size());
                },
                [](kj::Exception &&exception) -> kj::Promise<CallResponse> {
                    return unknownOutcome(exception.getDescription().cStr());
                });
    }

    kj::Promise<CallResponse> readBody(http::ResponseHead head, ResponseKind kind)
    {
        // The upstream has run the request, so its response waits for room rather than fail.
        return takeRoom()
                .then([this]() { return connection_->reader().readBodyUpTo(maximumResponseBytes); })
                .then(
                        [this, kind, head = std::move(head)](
                                http::BodyPiece &&body) -> kj::Promise<CallResponse> {
                            if (!body.isLast)
                                return unknownOutcome("the upstream's response is too large");
                            return interpret(head, kind, std::move(body.bytes));
                        },
                        [](kj::Exception &&exception) -> kj::Promise<CallResponse> {
                            return unknownOutcome(exception.getDescription().cStr());
                        });
    }

    kj::Promise<void> takeRoom()
    {
        if (connection_->reader().takeRoom(maximumResponseBytes, http::RoomUse::Response))
            return kj::READY_NOW;
        const std::size_t bytes = connection_->reader().message().bodyLength().value_or(0);
        return awaitRoom(client_.timer_.now() + toKj(roomWait))
                .attach(kj::heap<http::AwaitedRoom>(client_.budget_, bytes));
    }

    kj::Promise<void> awaitRoom(kj::TimePoint lateFrom)
    {
        return client_.budget_.whenReleased()
                .exclusiveJoin(client_.timer_.afterDelay(toKj(roomRetryInterval)))
                .then([this, lateFrom]() -> kj::Promise<void> {
                    const bool isLate = client_.timer_.now() >= lateFrom;
                    const auto use = isLate ? http::RoomUse::LateResponse : http::RoomUse::Response;
                    if (connection_->reader().takeRoom(maximumResponseBytes, use))
                        return kj::READY_NOW;
                    return awaitRoom(lateFrom);
                });
    }

    kj::Promise<CallResponse> interpret(const http::ResponseHead &head, ResponseKind kind,
                                        std::string body)
    {
        const bool isRefusal = kind == ResponseKind::NotRun || kind == ResponseKind::WrongInstance;
        const ResponseReference reference = client_.dialect_.referenceOf(head);
        if (isRefusal && !traffic::inbound::provesNotRun(reference, earlierCalls_))
            return unknownOutcome("the upstream's refusal identifies no request");
        if (isRefusal && reference == ResponseReference::Identifier)
            client_.refusedCalls_.add(request_.requestId);
        CallResponse response;
        response.outcome = isRefusal ? CallOutcome::NotRun : CallOutcome::Completed;
        response.reachedUpstream = true;
        response.status = head.status;
        if (kind == ResponseKind::NotRun)
            response.reason = "the upstream refused the request";
        if (kind == ResponseKind::WrongInstance)
            response.reason = "another process listens at the upstream's address";
        response.body = std::move(body);
        response.headers = http::endToEndHeaders(head.headers);
        if (isHeadRequest())
            keepBodyLength(response.headers);
        // After a response to another request, more of them may follow.
        const bool isReusable = isRequestWritten_ && foreignResponses_ == 0
                                && connection_->reader().message().keepsConnection();
        if (isReusable && (!isRefusal || traffic::inbound::mayReuseAfterRefusal(reference)))
            client_.release(kj::mv(connection_), head.headers);
        return kj::mv(response);
    }

    bool isHeadRequest() const { return request_.method == "HEAD"; }

    // A response to HEAD has the length of the response to GET, which no body gives.
    void keepBodyLength(http::HeaderList &headers)
    {
        if (const auto length = connection_->reader().message().bodyLength())
            headers.push_back({"Content-Length", std::to_string(*length)});
    }

    static CallResponse unknownOutcome(std::string reason)
    {
        CallResponse response = CallResponse::unknown(std::move(reason));
        response.reachedUpstream = true;
        return response;
    }

    UpstreamClient &client_;
    Connection connection_;
    // The number of calls that the connection carried before this one.
    std::size_t earlierCalls_;
    const CallRequest &request_;
    std::string requestText_;
    bool isRequestWritten_ = false;
    int foreignResponses_ = 0;
};

UpstreamClient::UpstreamClient(kj::Network &network, timing::PreciseTimer &timer,
                               const dialect::CallDialect &dialect,
                               core::counters::Counter &connectionsOpened, Listener &listener,
                               http::MemoryBudget *memory)
    : network_(network)
    , timer_(timer)
    , dialect_(dialect)
    , budget_(maximumBufferedBytes, memory)
    , connectionsOpened_(connectionsOpened)
    , listener_(listener)
{}

void UpstreamClient::setAddress(const core::identity::NetworkAddress &address)
{
    if (address == address_)
        return;
    address_ = address;
    dropIdleConnections();
}

kj::Promise<CallResponse> UpstreamClient::send(const CallRequest &request,
                                               const UpstreamStatus &upstream)
{
    if (inFlight_ >= maximumConnections)
        return CallResponse::notRun("all connections to the upstream are in use");
    auto count = kj::heap<core::counters::ScopedCount>(inFlight_);
    const auto budget = toKj(request.budget);
    auto response = acquire(request).then(
            [this, &request, upstream](Connection connection) {
                auto exchange = kj::heap<Exchange>(*this, kj::mv(connection), request, upstream);
                auto running = exchange->run();
                return running.attach(kj::mv(exchange),
                                      kj::heap<core::counters::ScopedCount>(connectedCalls_));
            },
            [this](kj::Exception &&exception) {
                handleFailedConnect(exception);
                // Without a connection, nothing was written.
                return CallResponse::notRun(exception.getDescription().cStr());
            });
    return timing::resultWithin(timer_, budget, kj::mv(response))
            .catch_([this](kj::Exception && /*exception*/) {
                // Other connections may have become unresponsive like this one.
                dropIdleConnections();
                CallResponse timedOut
                        = CallResponse::unknown("the upstream did not respond in time");
                timedOut.reachedUpstream = true;
                return timedOut;
            })
            .attach(kj::mv(count));
}

// An upstream that is full refuses connections too, but then it serves others.
void UpstreamClient::handleFailedConnect(const kj::Exception &exception)
{
    const bool isRefused = exception.getType() == kj::Exception::Type::DISCONNECTED;
    const MonotonicTime now = currentTime();
    const bool isServing
            = connectedCalls_ > 0
              || std::any_of(idleConnections_.begin(), idleConnections_.end(),
                             [now](const Connection &idle) { return idle->isReusable(now); });
    if (isRefused && !isServing)
        listener_.upstreamEnded();
}

kj::Promise<UpstreamClient::Connection> UpstreamClient::acquire(const CallRequest &request)
{
    // The upstream may write its refusal of this call again, but only on a connection that has
    // carried a call. The new one replaces the one that has been idle longest.
    const bool needsNewConnection = refusedCalls_.contains(request.requestId);
    if (needsNewConnection && !idleConnections_.empty())
        idleConnections_.erase(idleConnections_.begin());
    while (!needsNewConnection && !idleConnections_.empty()) {
        Connection connection = kj::mv(idleConnections_.back());
        idleConnections_.pop_back();
        if (connection->isReusable(currentTime()))
            return kj::mv(connection);
    }
    return timing::resultWithin(timer_, toKj(connectTimeout), connect());
}

kj::Promise<UpstreamClient::Connection> UpstreamClient::connect()
{
    connectionsOpened_.add();
    return network_.parseAddress(address_.toString())
            .then([](kj::Own<kj::NetworkAddress> &&parsed) {
                auto promise = parsed->connect();
                return promise.attach(kj::mv(parsed));
            })
            .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
                http::enableKeepAlive(*stream);
                return kj::heap<UpstreamConnection>(kj::mv(stream), budget_);
            });
}

void UpstreamClient::release(Connection connection, const http::HeaderList &headers)
{
    connection->reader().releaseBody();
    connection->markIdle(currentTime(), idleTimeoutFrom(headers));
    idleConnections_.push_back(kj::mv(connection));
}

} // namespace boragetrack::transport::serving
