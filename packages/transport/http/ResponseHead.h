/** The status line and headers of a response. */
#pragma once

#include "transport/http/HeaderLookup.h"

namespace boragetrack::transport::http {

/** Holds a response without its body. */
struct ResponseHead
{
    int status = 200;
    HeaderList headers;
};

} // namespace boragetrack::transport::http
