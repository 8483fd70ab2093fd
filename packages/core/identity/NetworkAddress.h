/** IP address and port. */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace boragetrack::core::identity {

/** Identifies a TCP endpoint. */
struct NetworkAddress
{
    std::string host;
    std::uint16_t port = 0;

    /** Returns the address as "host:port". */
    std::string toString() const { return host + ":" + std::to_string(port); }

    friend auto operator<=>(const NetworkAddress &, const NetworkAddress &) = default;
};

} // namespace boragetrack::core::identity
