/** The start line and headers of a request. */
#pragma once

#include "transport/http/HeaderLookup.h"

#include <string>

namespace boragetrack::transport::http {

/** Holds a request without its body. */
struct RequestHead
{
    std::string method;
    /** Path and query, as received. */
    std::string target;
    HeaderList headers;
};

} // namespace boragetrack::transport::http
