/** A server on a thread of its own that sends given bytes. */
#pragma once

#include "core/identity/NetworkAddress.h"

#include <string>
#include <sys/socket.h>
#include <thread>

namespace boragetrack::tests {

/** Sends the same bytes on each connection that sends a request, without reading its body, and then
    ends it. */
class RawServer
{
public:
    /** How a connection ends after the bytes. */
    enum class End { Close, Reset };

    RawServer(std::string response, End end);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    core::identity::NetworkAddress address() const { return {"127.0.0.1", port_}; }

private:
    void run() const;
    void serve(int connection) const;

    const std::string response_;
    const End end_;
    int listener_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace boragetrack::tests
