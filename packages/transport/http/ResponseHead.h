/** The status line and headers of a response. */
#pragma once

#include "transport/http/HeaderLookup.h"

namespace boragetrack::transport::http {

/** Holds a response without its body. */
struct ResponseHead
{
    /** The status of an interim response after which the connection has another protocol. */
    static constexpr int switchingProtocols = 101;

    /** Returns whether HTTP defines a class for a status (RFC 9110, section 15). */
    static bool isDefinedStatus(int number) { return number >= 100 && number <= 599; }

    int status = 200;
    HeaderList headers;

    /** Returns whether the response only precedes the final one. */
    bool isInterim() const { return status >= 100 && status < 200; }
};

} // namespace boragetrack::transport::http
