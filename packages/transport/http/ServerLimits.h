/** Limits of a server connection. */
#pragma once

#include "transport/http/MessageLimits.h"

#include <chrono>

namespace boragetrack::transport::http {

/** Limits the size of a client's requests and the time that the server waits for them. */
struct ServerLimits
{
    MessageLimits message;
    /** From a request's first byte to the end of its head. */
    std::chrono::milliseconds headerTimeout{3000};
    /** From the end of a response to the next request's first byte, and for each part of a body. */
    std::chrono::milliseconds idleTimeout{15'000};
};

} // namespace boragetrack::transport::http
