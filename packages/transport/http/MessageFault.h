/** Why a message could not be read. */
#pragma once

#include <string>

namespace boragetrack::transport::http {

/** Describes a malformed, oversized or overdue message. */
struct MessageFault
{
    /** The status that tells the sender of a request: 400, 408, 413 or 431. */
    int status = 400;
    std::string reason;
};

} // namespace boragetrack::transport::http
