/** Sets TCP keepalive, which covers idle connections, and the limit on unacknowledged data. */
#include "transport/http/KeepAlive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace boragetrack::transport::http {

namespace {

// Idle time before the first probe, interval between probes, and number of unacknowledged probes.
// Together they close an unresponsive connection after about three seconds, well below the time
// within which a change must be in force after a network partition has healed.
constexpr int probeAfterSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;
constexpr int unacknowledgedMilliseconds = 3000;

void setOption(kj::AsyncIoStream &stream, int level, int option, int value)
{
    stream.setsockopt(level, option, &value, sizeof(value));
}

} // namespace

void enableKeepAlive(kj::AsyncIoStream &stream)
{
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    setOption(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMilliseconds);
}

} // namespace boragetrack::transport::http
