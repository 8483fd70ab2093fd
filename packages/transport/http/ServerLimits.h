/** How long and how much a client may send. */
#pragma once

#include "transport/http/MessageLimits.h"

#include <chrono>

namespace boragetrack::transport::http {

/** Bounds the messages and the waits of one server connection. */
struct ServerLimits
{
    MessageLimits message;
    /** From a request's first byte to the end of its head. */
    std::chrono::milliseconds headerTimeout{3000};
    /** From the end of an answer to the next request's first byte. */
    std::chrono::milliseconds idleTimeout{15'000};
};

} // namespace boragetrack::transport::http
