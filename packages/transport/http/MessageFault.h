/** The reason why a received message was rejected. */
#pragma once

#include <string>

namespace boragetrack::transport::http {

/** Describes what is wrong with a message that is malformed, too large or overdue. */
struct MessageFault
{
    /** The status of the response, if the message is a request: 400, 408, 413 or 431. */
    int status = 400;
    std::string reason;
};

} // namespace boragetrack::transport::http
