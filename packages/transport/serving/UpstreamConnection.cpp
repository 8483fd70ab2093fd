/** Implements UpstreamConnection. */
#include "transport/serving/UpstreamConnection.h"

#include <cerrno>
#include <sys/socket.h>

namespace boragetrack::transport::serving {

bool UpstreamConnection::isClosedByPeer() const
{
    KJ_IF_MAYBE (descriptor, stream->getFd()) {
        char byte = 0;
        // An idle connection has nothing to read but its end.
        const ssize_t length = ::recv(*descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return length >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
    return false;
}

} // namespace boragetrack::transport::serving
