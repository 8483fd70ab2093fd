/** Waits for each request within the idle and header timeouts, and closes the connection such that
    the client can still read the last response. */
#include "transport/http/ServerConnection.h"

#include "core/counters/ScopedCount.h"
#include "core/events/EventLog.h"
#include "transport/http/MessageWriter.h"
#include "transport/timing/Deadline.h"

namespace boragetrack::transport::http {

namespace {

constexpr int requestTimeout = 408;
// Limits on the input that is discarded before a connection is closed. Closing it with unread input
// would reset it, and the client might lose the response.
constexpr std::size_t maximumDiscardedBytes = std::size_t{256} * 1024;
constexpr kj::Duration discardTime = 500 * kj::MILLISECONDS;

kj::Duration toKj(std::chrono::nanoseconds time)
{
    return time.count() * kj::NANOSECONDS;
}

} // namespace

ServerConnection::~ServerConnection()
{
    const bool hasUnhandledInput
            = !isClosing_ && exchange_.get() == nullptr && !stream_.bytes().empty();
    if (hasUnhandledInput && !stream_.isEnded())
        core::events::logCall(core::events::EventCode::CallCut, "request cut", false,
                              {{"reason", "the node stopped before it handled what it had read"}});
}

kj::Promise<void> ServerConnection::run()
{
    return awaitRequest();
}

kj::Promise<void> ServerConnection::awaitRequest()
{
    const ServerLimits limits = handler_.limits();
    reader_.setLimits(limits.message);
    if (!stream_.bytes().empty())
        return readRequest();
    // Cancelling this wait loses no input: bytes that arrive stay in the stream's buffer.
    return stream_.readMore()
            .then([]() { return true; })
            .exclusiveJoin(
                    timing::whenPassed(timer_, timer_.now() + toKj(limits.idleTimeout)).then([]() {
                        return false;
                    }))
            .then([this](bool hasInput) -> kj::Promise<void> {
                const bool isOver = !hasInput || (stream_.isEnded() && stream_.bytes().empty());
                return isOver ? close() : readRequest();
            });
}

kj::Promise<void> ServerConnection::readRequest()
{
    const MessageFault overdue{requestTimeout, "timeout while reading the head of the request"};
    return reader_.readHead()
            .exclusiveJoin(
                    timing::whenPassed(timer_, timer_.now() + toKj(handler_.limits().headerTimeout))
                            .then([overdue]() { return Reader::HeadResult(overdue); }))
            .attach(kj::heap<core::counters::ScopedCount>(partialRequests_))
            .then([this](Reader::HeadResult &&result) -> kj::Promise<void> {
                if (auto *head = std::get_if<RequestHead>(&result))
                    return serve(std::move(*head));
                if (auto *fault = std::get_if<MessageFault>(&result))
                    return refuse(*fault);
                return close();
            });
}

kj::Promise<void> ServerConnection::serve(RequestHead head)
{
    exchange_ = kj::heap<ServerExchange>(std::move(head), reader_, stream_);
    return handler_.handle(*exchange_)
            .then([]() { return false; })
            .exclusiveJoin(stream_.whenEnded().then([]() { return true; }))
            .then([this](bool isClientDisconnected) { return finish(isClientDisconnected); });
}

kj::Promise<void> ServerConnection::finish(bool isClientDisconnected)
{
    const bool mayContinue = !isClientDisconnected && exchange_->isResponseComplete()
                             && exchange_->keepsConnection();
    exchange_ = nullptr;
    if (mayContinue)
        return awaitRequest();
    return isClientDisconnected ? kj::Promise<void>(kj::READY_NOW) : close();
}

kj::Promise<void> ServerConnection::refuse(const MessageFault &fault)
{
    auto text = kj::heap<std::string>(serializeHead(handler_.responseTo(fault), 0, false));
    auto written = stream_.write(kj::arrayPtr(text->data(), text->size())).attach(kj::mv(text));
    return written.then([this]() { return close(); });
}

kj::Promise<void> ServerConnection::close()
{
    isClosing_ = true;
    if (stream_.isEnded())
        return kj::READY_NOW;
    stream_.shutdownWrite();
    return discardInput(maximumDiscardedBytes).exclusiveJoin(timer_.afterDelay(discardTime));
}

kj::Promise<void> ServerConnection::discardInput(std::size_t limit)
{
    const std::size_t buffered = stream_.bytes().size();
    stream_.consume(buffered);
    if (stream_.isEnded() || buffered >= limit)
        return kj::READY_NOW;
    return stream_.readMore().then(
            [this, limit, buffered]() { return discardInput(limit - buffered); });
}

} // namespace boragetrack::transport::http
