/** The end of a connection between two messages. */
#pragma once

namespace boragetrack::transport::http {

/** Tells that the peer closed the connection and no message had begun. */
struct StreamEnd
{
    /** Whether the connection was reset instead of closed. */
    bool isReset = false;
};

} // namespace boragetrack::transport::http
