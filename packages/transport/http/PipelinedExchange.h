/** A request of a connection that is in progress. */
#pragma once

#include "transport/http/ServerExchange.h"

#include <optional>

namespace boragetrack::transport::http {

/** Holds an exchange and the handler's promise; destroying it cancels the request. */
struct PipelinedExchange
{
    kj::Own<ServerExchange> exchange;
    /** Fulfilled when the response may be written; null unless a response waits. */
    kj::Own<kj::PromiseFulfiller<void>> turn;
    bool isStarted = false;
    /** Whether the handler has ended, and the exception that ended it, if one did. */
    bool isFinished = false;
    std::optional<kj::Exception> failure;
    /** Invariant: destroyed before the members that it uses. */
    kj::Promise<void> running = nullptr;
};

} // namespace boragetrack::transport::http
