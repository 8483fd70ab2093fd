/** Implements the reading of addresses. */
#include "core/identity/AddressParser.h"

#include <arpa/inet.h>
#include <charconv>

namespace boragetrack::core::identity {

std::optional<NetworkAddress> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    NetworkAddress address{text.substr(0, colon), 0};
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, address.port);
    if (read.ec != std::errc() || read.ptr != end || address.port == 0
        || !isIpv4Address(address.host))
        return std::nullopt;
    return address;
}

bool isIpv4Address(const std::string &text)
{
    in_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

} // namespace boragetrack::core::identity
