/** An IP number with a port. */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace boragetrack::core::identity {

/** Names a TCP endpoint by IP number and port. */
struct NetworkAddress
{
    std::string host;
    std::uint16_t port = 0;

    /** Returns the address as "host:port". */
    std::string toString() const { return host + ":" + std::to_string(port); }

    friend auto operator<=>(const NetworkAddress &, const NetworkAddress &) = default;
};

} // namespace boragetrack::core::identity
