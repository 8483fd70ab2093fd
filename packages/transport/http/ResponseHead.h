/** The status line and headers of a response. */
#pragma once

#include "transport/http/HeaderLookup.h"

namespace boragetrack::transport::http {

/** Holds a response without its body. */
struct ResponseHead
{
    /** The status of an interim response after which the connection has another protocol. */
    static constexpr int switchingProtocols = 101;

    int status = 200;
    HeaderList headers;

    /** Returns whether the response only precedes the final one. */
    bool isInterim() const { return status >= 100 && status < 200; }
};

} // namespace boragetrack::transport::http
