/** The end of a connection between two messages. */
#pragma once

namespace boragetrack::transport::http {

/** Indicates that the connection ended and no further message had begun. */
struct StreamEnd
{
    /** Whether the connection ended with an error rather than a close. */
    bool isReset = false;
};

} // namespace boragetrack::transport::http
