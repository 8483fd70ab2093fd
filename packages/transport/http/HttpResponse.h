/** An HTTP response. */
#pragma once

#include "traffic/calls/HeaderField.h"

#include <string>
#include <vector>

namespace boragetrack::transport::http {

/** Holds a response as a server sends it or a client received it. */
struct HttpResponse
{
    int status = 200;
    std::vector<traffic::calls::HeaderField> headers;
    std::string body;
};

} // namespace boragetrack::transport::http
