/** Parsing of network addresses. */
#pragma once

#include "core/identity/NetworkAddress.h"

#include <optional>
#include <string>

namespace boragetrack::core::identity {

/** Parses "IP:port". @returns nothing unless the host is an IPv4 address and the port is from 1 to
    65535 */
std::optional<NetworkAddress> parseAddress(const std::string &text);

/** Returns whether a text is an IPv4 address in dotted-decimal form. */
bool isIpv4Address(const std::string &text);

} // namespace boragetrack::core::identity
