/** Finds headers by name. */
#pragma once

#include "traffic/calls/HeaderField.h"

#include <string>
#include <string_view>
#include <vector>

namespace boragetrack::transport::http {

/** The headers of one message, in the order in which they were received. */
using HeaderList = std::vector<traffic::calls::HeaderField>;

/** Returns whether two header names are the same; case does not count. */
bool equalsIgnoreCase(std::string_view first, std::string_view second);

/** Returns the value of the first header of that name, or null. */
const std::string *findHeader(const HeaderList &headers, std::string_view name);

/** Returns whether a comma-separated header value holds a token; case does not count. */
bool hasToken(std::string_view value, std::string_view token);

} // namespace boragetrack::transport::http
