/** Tests how the server side of a connection ends. */
#include "transport/http/ServerConnection.h"
#include "transport/http/BodyPace.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <kj/debug.h>

using namespace boragetrack::transport::http;

namespace {

/** Supplies one request and then nothing; the peer has reset the connection meanwhile. */
class ResetStream final : public kj::AsyncIoStream
{
public:
    explicit ResetStream(std::string request)
        : request_(std::move(request))
    {}

    kj::Promise<size_t> tryRead(void *buffer, size_t /*minimum*/, size_t /*maximum*/) override
    {
        const std::size_t size = request_.size();
        if (size == 0)
            return kj::NEVER_DONE;
        std::copy(request_.begin(), request_.end(), static_cast<char *>(buffer));
        request_.clear();
        return kj::evalLater([size]() -> size_t { return size; });
    }
    kj::Promise<void> write(const void * /*buffer*/, size_t /*size*/) override
    {
        return kj::READY_NOW;
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> /*pieces*/) override
    {
        return kj::READY_NOW;
    }
    kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
    void shutdownWrite() override
    {
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "transport endpoint is not connected"));
    }

private:
    std::string request_;
};

/** Responds to each request at once. */
class ImmediateHandler : public ExchangeHandler
{
public:
    kj::Promise<void> handle(ServerExchange &exchange) override
    {
        return exchange.respond(ResponseHead{200, {}}, "done");
    }
};

/** Reads the body of each request and never responds. */
class BodyHandler : public ExchangeHandler
{
public:
    kj::Promise<void> handle(ServerExchange &exchange) override
    {
        return exchange.readBodyUpTo(std::size_t{1024} * 1024).then([](BodyPiece && /*body*/) {
            return kj::Promise<void>(kj::NEVER_DONE);
        });
    }
    ServerLimits limits() const override
    {
        ServerLimits limits;
        limits.idleTimeout = std::chrono::seconds(1);
        return limits;
    }
};

/** A connection in the middle of the body of its first request, with a clock of its own. */
class UnfinishedBody
{
public:
    /** The parts in which the rest of the body can be sent. */
    static constexpr int parts = 7;

    UnfinishedBody()
    {
        send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
             + std::to_string(2 + parts * BodyPace::partBytes) + "\r\n\r\n12");
    }

    void sendPart() { send(std::string(BodyPace::partBytes, 'x')); }

    void send(const std::string &text)
    {
        pipe_.ends[1]->write(text.data(), text.size()).wait(io_.waitScope);
    }

    /** Lets the clock advance by one idle timeout. @returns whether the connection has ended */
    bool endsAfterIdleTimeout()
    {
        time_ += 1 * kj::SECONDS;
        for (int i = 0; i < pollsOfADeadline; ++i) {
            timer_.advanceTo(time_);
            if (running_.poll(io_.waitScope))
                return true;
        }
        return false;
    }

private:
    // More than whenPassed() takes.
    static constexpr int pollsOfADeadline = 20;

    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    kj::TimePoint time_ = kj::origin<kj::TimePoint>();
    kj::TimerImpl timer_{time_};
    kj::TwoWayPipe pipe_ = kj::newTwoWayPipe();
    BodyHandler handler_;
    BufferBudget budget_{std::size_t{1024} * 1024};
    std::size_t partialRequests_ = 0;
    ServerConnection connection_{kj::mv(pipe_.ends[0]), handler_, timer_, budget_,
                                 partialRequests_};
    kj::Promise<void> running_ = connection_.run();
};

} // namespace

// Guards against bodies that hold their room for as long as their clients stay.
TEST(ServerConnection, endsWhenTheClientSendsNoMoreOfABody)
{
    UnfinishedBody body;
    EXPECT_FALSE(body.endsAfterIdleTimeout());
    EXPECT_TRUE(body.endsAfterIdleTimeout());
}

// Guards against closing a client that sends slowly, or that waits for its response.
TEST(ServerConnection, staysOpenWhileABodyArrivesAndWhileItsRequestRuns)
{
    UnfinishedBody body;
    for (int i = 0; i < UnfinishedBody::parts; ++i) {
        EXPECT_FALSE(body.endsAfterIdleTimeout());
        body.sendPart();
    }
    for (int i = 0; i < 3; ++i)
        EXPECT_FALSE(body.endsAfterIdleTimeout());
}

TEST(ServerConnection, endsWithoutAnErrorWhenThePeerResetsItAfterTheResponse)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    ImmediateHandler handler;
    BufferBudget budget(std::size_t{1024} * 1024);
    std::size_t partialRequests = 0;
    ServerConnection connection(
            kj::heap<ResetStream>("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"),
            handler, io.provider->getTimer(), budget, partialRequests);
    EXPECT_NO_THROW(connection.run().wait(io.waitScope));
}
