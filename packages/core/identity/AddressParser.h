/** Reads network addresses. */
#pragma once

#include "core/identity/NetworkAddress.h"

#include <optional>
#include <string>

namespace boragetrack::core::identity {

/** Reads "IP:port"; returns nothing unless the host is an IP number and the port is not zero. */
std::optional<NetworkAddress> parseAddress(const std::string &text);

/** Returns whether a text is an IP number of version 4. */
bool isIpv4Address(const std::string &text);

} // namespace boragetrack::core::identity
