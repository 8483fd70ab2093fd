/** Implements the probing of connections. */
#include "transport/http/KeepAlive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace boragetrack::transport::http {

namespace {

// Idle time before the first probe, time between probes (seconds), and probes that may go
// unanswered: together they bound the time until a silent connection breaks to some three seconds,
// well below the time in which a change must be in force once the network is whole again.
constexpr int probeAfterSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;
constexpr int unacknowledgedMilliseconds = 3000;

void set(kj::AsyncIoStream &stream, int level, int option, int value)
{
    stream.setsockopt(level, option, &value, sizeof(value));
}

} // namespace

void enableKeepAlive(kj::AsyncIoStream &stream)
{
    set(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(stream, IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    set(stream, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    set(stream, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    set(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMilliseconds);
}

} // namespace boragetrack::transport::http
