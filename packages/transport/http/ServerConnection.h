/** One accepted HTTP connection. */
#pragma once

#include "transport/http/ExchangeHandler.h"

#include <kj/timer.h>

namespace boragetrack::transport::http {

/** Reads request after request and hands each to the handler; notices a client that goes while its
    request is handled, and then drops the handler's work. */
class ServerConnection
{
public:
    /** @param handler and @param timer outlive the connection */
    ServerConnection(kj::Own<kj::AsyncIoStream> stream, ExchangeHandler &handler, kj::Timer &timer)
        : stream_(kj::mv(stream))
        , reader_(stream_, {})
        , handler_(handler)
        , timer_(timer)
    {}

    /** Serves the connection to its end. */
    kj::Promise<void> run();

private:
    using Reader = MessageReader<RequestHead>;

    kj::Promise<void> awaitRequest();
    kj::Promise<void> readRequest();
    kj::Promise<void> serve(RequestHead head);
    kj::Promise<void> finish(bool isClientDisconnected);
    kj::Promise<void> refuse(const MessageFault &fault);
    kj::Promise<void> close();
    kj::Promise<void> discardInput(std::size_t budget);

    ReadAheadStream stream_;
    Reader reader_;
    ExchangeHandler &handler_;
    kj::Timer &timer_;
    kj::Own<ServerExchange> exchange_;
};

} // namespace boragetrack::transport::http
