/** Tests how the server side of a connection ends. */
#include "transport/http/ServerConnection.h"

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

} // namespace

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
