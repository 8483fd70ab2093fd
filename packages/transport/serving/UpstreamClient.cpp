/** Implements UpstreamClient. */
#include "transport/serving/UpstreamClient.h"

#include "transport/http/KeepAlive.h"
#include "transport/http/MessageWriter.h"

#include <cstdlib>

namespace boragetrack::transport::serving {

using core::timing::MonotonicTime;
using dialect::ResponseKind;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

// The upstream may close an idle connection while a request is on its way to it.
constexpr std::chrono::milliseconds idleMargin{1000};

MonotonicTime currentTime()
{
    return std::chrono::steady_clock::now();
}

kj::Duration toKj(std::chrono::nanoseconds time)
{
    return time.count() * kj::NANOSECONDS;
}

// Returns how long the upstream keeps an idle connection, less a margin.
std::chrono::milliseconds keptFor(const http::HeaderList &headers)
{
    const std::string *keepAlive = http::findHeader(headers, "Keep-Alive");
    const std::size_t at = keepAlive == nullptr ? std::string::npos : keepAlive->find("timeout=");
    if (at == std::string::npos)
        return UpstreamClient::defaultIdleTimeout;
    const std::chrono::seconds told(std::atol(keepAlive->c_str() + at + 8));
    return std::max(std::chrono::milliseconds::zero(), told - idleMargin);
}

} // namespace

/** Counts one call under way for the length of a scope. */
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

/** One call on one connection. */
class UpstreamClient::Exchange
{
public:
    Exchange(UpstreamClient &client, Connection connection, const CallRequest &request,
             const UpstreamStatus &upstream)
        : client_(client)
        , connection_(kj::mv(connection))
        , request_(request)
        , text_(http::serializeHead(
                        http::RequestHead{request.method, request.target,
                                          client.dialect_.upstreamHeaders(request, upstream)},
                        request.body.size())
                + request.body)
    {}

    kj::Promise<CallResponse> run()
    {
        // The answer may come before the body is written, and reading must not wait for that.
        auto written = connection_->stream()
                               .write(kj::arrayPtr(text_.data(), text_.size()))
                               .then([this]() { isWritten_ = true; })
                               .catch_([](kj::Exception && /*exception*/) {
                                   // A broken connection shows in the reading as well.
                               })
                               .eagerlyEvaluate(nullptr);
        return readAnswer().attach(kj::mv(written));
    }

private:
    kj::Promise<CallResponse> readAnswer()
    {
        return connection_->reader().readHead().then(
                [this](http::MessageReader<http::ResponseHead>::HeadResult &&result)
                        -> kj::Promise<CallResponse> {
                    if (auto *head = std::get_if<http::ResponseHead>(&result))
                        return readBody(std::move(*head));
                    if (auto *fault = std::get_if<http::MessageFault>(&result))
                        return lost("the upstream's answer is malformed: " + fault->reason);
                    return lost("the upstream closed the connection without an answer");
                });
    }

    kj::Promise<CallResponse> readBody(http::ResponseHead head)
    {
        return connection_->reader()
                .readBodyUpTo(maximumResponseBytes)
                .then(
                        [this, head = std::move(head)](
                                http::BodyPiece &&body) -> kj::Promise<CallResponse> {
                            if (!body.isLast)
                                return lost("the upstream's answer is too large");
                            return judge(head, std::move(body.bytes));
                        },
                        [](kj::Exception &&exception) -> kj::Promise<CallResponse> {
                            return lost(exception.getDescription().cStr());
                        });
    }

    kj::Promise<CallResponse> judge(const http::ResponseHead &head, std::string body)
    {
        const ResponseKind verdict = client_.dialect_.classifyResponse(head, request_);
        if (verdict == ResponseKind::OtherRequest)
            return readAnswer();
        if (verdict == ResponseKind::Malformed)
            return lost("the upstream sent what is no answer");
        CallResponse answer;
        answer.outcome
                = verdict == ResponseKind::Completed ? CallOutcome::Completed : CallOutcome::NotRun;
        answer.reachedUpstream = true;
        answer.status = head.status;
        if (verdict == ResponseKind::NotRun)
            answer.reason = "the upstream refused the request";
        if (verdict == ResponseKind::WrongInstance)
            answer.reason = "another process has the upstream's address";
        answer.body = std::move(body);
        answer.headers = http::endToEndHeaders(head.headers);
        const bool isReusable = isWritten_ && connection_->reader().message().keepsConnection();
        if (isReusable)
            client_.release(kj::mv(connection_), head.headers);
        return kj::mv(answer);
    }

    static CallResponse lost(std::string reason)
    {
        CallResponse answer = CallResponse::unknown(std::move(reason));
        answer.reachedUpstream = true;
        return answer;
    }

    UpstreamClient &client_;
    Connection connection_;
    const CallRequest &request_;
    std::string text_;
    bool isWritten_ = false;
};

UpstreamClient::UpstreamClient(kj::Network &network, kj::Timer &timer,
                               const dialect::CallDialect &dialect,
                               core::counters::Counter &connectionsOpened)
    : network_(network)
    , timer_(timer)
    , dialect_(dialect)
    , connectionsOpened_(connectionsOpened)
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
    if (busy_ >= maximumConnections)
        return CallResponse::notRun("all connections to the upstream are in use");
    auto slot = kj::heap<ScopedSlot>(busy_);
    const auto budget = toKj(request.budget);
    auto answer = acquire().then(
            [this, &request, upstream](Connection connection) {
                auto exchange = kj::heap<Exchange>(*this, kj::mv(connection), request, upstream);
                auto running = exchange->run();
                return running.attach(kj::mv(exchange));
            },
            [](kj::Exception &&exception) {
                // Nothing was written without a connection.
                return CallResponse::notRun(exception.getDescription().cStr());
            });
    return timer_.timeoutAfter(budget, kj::mv(answer))
            .catch_([this](kj::Exception && /*exception*/) {
                // Other connections may have fallen silent like this one.
                dropIdleConnections();
                CallResponse late = CallResponse::unknown("the upstream did not answer in time");
                late.reachedUpstream = true;
                return late;
            })
            .attach(kj::mv(slot));
}

kj::Promise<UpstreamClient::Connection> UpstreamClient::acquire()
{
    while (!idle_.empty()) {
        Connection connection = kj::mv(idle_.back());
        idle_.pop_back();
        if (connection->isReusable(currentTime()))
            return kj::mv(connection);
    }
    return timer_.timeoutAfter(toKj(connectTimeout), connect());
}

kj::Promise<UpstreamClient::Connection> UpstreamClient::connect()
{
    connectionsOpened_.add();
    return network_.parseAddress(address_.toString())
            .then([](kj::Own<kj::NetworkAddress> &&parsed) {
                auto promise = parsed->connect();
                return promise.attach(kj::mv(parsed));
            })
            .then([](kj::Own<kj::AsyncIoStream> &&stream) {
                http::enableKeepAlive(*stream);
                return kj::heap<UpstreamConnection>(kj::mv(stream));
            });
}

void UpstreamClient::release(Connection connection, const http::HeaderList &headers)
{
    connection->markIdle(currentTime(), keptFor(headers));
    idle_.push_back(kj::mv(connection));
}

} // namespace boragetrack::transport::serving
