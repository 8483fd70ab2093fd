/** Implements UpstreamClient. */
#include "transport/serving/UpstreamClient.h"

#include "traffic/calls/CallHeaders.h"

#include <array>
#include <kj/debug.h>
#include <strings.h>

namespace boragetrack::transport::serving {

using traffic::calls::CallAnswer;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::HeaderField;

namespace {

constexpr int serviceUnavailable = 503;

// Headers that belong to one connection, or that this side sets itself.
constexpr std::array connectionHeaders{"Connection",
                                       "Content-Length",
                                       "Expect",
                                       "Host",
                                       "Keep-Alive",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "TE",
                                       "Trailer",
                                       traffic::calls::deadlineHeader,
                                       traffic::calls::hopCountHeader,
                                       traffic::calls::attemptHeader};

bool isForwarded(const char *name)
{
    for (const char *excluded : connectionHeaders) {
        if (strcasecmp(name, excluded) == 0)
            return false;
    }
    return true;
}

kj::HttpMethod methodOf(const std::string &name)
{
    KJ_IF_MAYBE (method, kj::tryParseHttpMethod(name.c_str()))
        return *method;
    KJ_FAIL_REQUIRE("unknown HTTP method", name.c_str());
}

bool isShed(const CallAnswer &answer)
{
    if (answer.status != serviceUnavailable)
        return false;
    for (const HeaderField &field : answer.headers) {
        if (strcasecmp(field.name.c_str(), traffic::calls::shedHeader) == 0)
            return true;
    }
    return false;
}

} // namespace

class UpstreamClient::ScopedSlot
{
public:
    explicit ScopedSlot(int &busy)
        : busy_(busy)
    {
        ++busy_;
    }
    ~ScopedSlot() { --busy_; }
    ScopedSlot(const ScopedSlot &) = delete;
    ScopedSlot &operator=(const ScopedSlot &) = delete;

private:
    int &busy_;
};

UpstreamClient::UpstreamClient(kj::Network &network, kj::Timer &timer)
    : network_(network)
    , timer_(timer)
    , headerTable_(kj::HttpHeaderTable::Builder().build())
{}

void UpstreamClient::setAddress(const core::identity::NetworkAddress &address)
{
    if (address == address_)
        return;
    address_ = address;
    forgetConnections();
}

kj::Promise<CallAnswer> UpstreamClient::send(const CallRequest &request)
{
    if (busy_ >= maximumConnections)
        return CallAnswer::notRun("all connections to the upstream are in use");
    auto slot = kj::heap<ScopedSlot>(busy_);
    const auto budget = request.budget.count() * kj::MICROSECONDS;
    auto message = kj::heap<CallRequest>(request);
    CallRequest &call = *message;
    auto sent = acquire().then(
            [this, &call](Connection connection) { return sendOver(kj::mv(connection), call); },
            [](kj::Exception &&exception) {
                // Nothing was written without a connection.
                return CallAnswer::notRun(exception.getDescription().cStr());
            });
    return timer_.timeoutAfter(budget, kj::mv(sent))
            .catch_([](kj::Exception && /*exception*/) {
                return CallAnswer::unknown("the upstream did not answer in time");
            })
            .attach(kj::mv(message), kj::mv(slot));
}

kj::Promise<UpstreamClient::Connection> UpstreamClient::acquire()
{
    while (!idle_.empty()) {
        Connection connection = kj::mv(idle_.back());
        idle_.pop_back();
        if (!connection->isClosedByPeer())
            return kj::mv(connection);
    }
    return network_.parseAddress(address_.toString())
            .then([](kj::Own<kj::NetworkAddress> &&parsed) {
                auto promise = parsed->connect();
                return promise.attach(kj::mv(parsed));
            })
            .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
                return kj::heap<UpstreamConnection>(kj::mv(stream), *headerTable_);
            });
}

kj::Promise<CallAnswer> UpstreamClient::sendOver(Connection connection, const CallRequest &request)
{
    const kj::HttpHeaders headers = headersOf(request);
    UpstreamConnection &held = *connection;
    auto http = held.client->request(methodOf(request.method), request.target.c_str(), headers,
                                     request.body.size());
    kj::Promise<void> written = kj::READY_NOW;
    if (!request.body.empty())
        written = http.body->write(request.body.data(), request.body.size());
    return written
            .then([body = kj::mv(http.body), response = kj::mv(http.response)]() mutable {
                // The body stream must be gone before the response is complete.
                body = nullptr;
                return kj::mv(response);
            })
            .then([this](kj::HttpClient::Response &&response) { return receive(response); })
            .then([this, connection = kj::mv(connection)](CallAnswer &&answer) mutable {
                if (answer.outcome != CallOutcome::Unknown)
                    idle_.push_back(kj::mv(connection));
                return kj::mv(answer);
            })
            .catch_([](kj::Exception &&exception) {
                return CallAnswer::unknown(exception.getDescription().cStr());
            });
}

kj::Promise<CallAnswer> UpstreamClient::receive(kj::HttpClient::Response &response)
{
    CallAnswer answer;
    answer.outcome = CallOutcome::Answered;
    answer.status = static_cast<int>(response.statusCode);
    response.headers->forEach([&](kj::StringPtr name, kj::StringPtr value) {
        if (isForwarded(name.cStr()))
            answer.headers.push_back(HeaderField{name.cStr(), value.cStr()});
    });
    if (isShed(answer)) {
        answer.outcome = CallOutcome::NotRun;
        answer.reason = "the upstream shed the request";
    }
    auto body = response.body->readAllBytes(maximumAnswerBytes);
    return body.attach(kj::mv(response.body))
            .then([answer = kj::mv(answer)](kj::Array<kj::byte> &&bytes) mutable {
                answer.body.assign(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
                return kj::mv(answer);
            });
}

kj::HttpHeaders UpstreamClient::headersOf(const CallRequest &request) const
{
    kj::HttpHeaders headers(*headerTable_);
    for (const HeaderField &field : request.headers) {
        if (isForwarded(field.name.c_str()))
            headers.add(kj::heapString(field.name.c_str()), kj::heapString(field.value.c_str()));
    }
    const auto milliseconds = request.budget.count() / 1000;
    headers.set(kj::HttpHeaderId::HOST, kj::heapString(address_.toString().c_str()));
    headers.add(kj::heapString(traffic::calls::deadlineHeader), kj::str(milliseconds));
    headers.add(kj::heapString(traffic::calls::hopCountHeader), kj::str(request.hops));
    headers.add(kj::heapString(traffic::calls::attemptHeader), kj::str(request.attempt));
    return headers;
}

} // namespace boragetrack::transport::serving
