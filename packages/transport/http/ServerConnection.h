/** The server side of one HTTP connection. */
#pragma once

#include "transport/http/ExchangeHandler.h"

#include <kj/timer.h>

namespace boragetrack::transport::http {

/** Reads requests in sequence and passes each to the handler. If the client disconnects while its
    request is being handled, the connection drops the handler's promise. */
class ServerConnection
{
public:
    /** @param handler, @param timer and @param budget outlive the connection
        @param partialRequests counts this connection while the head of a request has arrived in
        part; outlives the connection */
    ServerConnection(kj::Own<kj::AsyncIoStream> stream, ExchangeHandler &handler, kj::Timer &timer,
                     BufferBudget &budget, std::size_t &partialRequests)
        : stream_(kj::mv(stream))
        , reader_(stream_, {}, &budget)
        , handler_(handler)
        , timer_(timer)
        , partialRequests_(partialRequests)
    {}

    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /** Serves the connection until it is closed. */
    kj::Promise<void> run();

private:
    using Reader = MessageReader<RequestHead>;

    kj::Promise<void> awaitRequest();
    kj::Promise<void> readRequest();
    kj::Promise<void> serve(RequestHead head);
    kj::Promise<void> finish(bool isClientDisconnected);
    kj::Promise<void> refuse(const MessageFault &fault);
    kj::Promise<void> close();
    kj::Promise<void> discardInput(std::size_t limit);

    ReadAheadStream stream_;
    Reader reader_;
    ExchangeHandler &handler_;
    kj::Timer &timer_;
    std::size_t &partialRequests_;
    kj::Own<ServerExchange> exchange_;
    // Whether input is no longer handled.
    bool isClosing_ = false;
};

} // namespace boragetrack::transport::http
