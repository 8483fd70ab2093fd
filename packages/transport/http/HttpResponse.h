/** An HTTP response with its body. */
#pragma once

#include "traffic/calls/HeaderField.h"

#include <string>
#include <vector>

namespace boragetrack::transport::http {

/** Holds a response that a server is to send or a client has received. */
struct HttpResponse
{
    int status = 200;
    std::vector<traffic::calls::HeaderField> headers;
    std::string body;
};

} // namespace boragetrack::transport::http
