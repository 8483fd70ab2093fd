/** Searches the header fields of a message. */
#pragma once

#include "traffic/calls/HeaderField.h"

#include <string>
#include <string_view>
#include <vector>

namespace boragetrack::transport::http {

/** The header fields of one message, in the order received. */
using HeaderList = std::vector<traffic::calls::HeaderField>;

/** Returns whether two names or tokens are equal, ignoring case. */
bool equalsIgnoreCase(std::string_view first, std::string_view second);

/** Returns the value of the first field with a name, ignoring its case; null if there is none. */
const std::string *findHeader(const HeaderList &headers, std::string_view name);

/** Returns whether a comma-separated field value contains a token, ignoring case. */
bool hasToken(std::string_view value, std::string_view token);

} // namespace boragetrack::transport::http
