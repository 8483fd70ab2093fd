/** An HTTP request with its body. */
#pragma once

#include "traffic/calls/HeaderField.h"

#include <string>
#include <vector>

namespace boragetrack::transport::http {

/** Holds a request that a server has received or a client is to send. */
struct HttpRequest
{
    std::string method;
    /** Path and query. */
    std::string target;
    std::vector<traffic::calls::HeaderField> headers;
    std::string body;

    /** Returns the value of the first header of a name, ignoring case; empty if there is none. */
    std::string header(const std::string &name) const;

    /** Returns the path without the query. */
    std::string path() const { return target.substr(0, target.find('?')); }

    /** Returns a query parameter's value as it was sent, without percent-decoding; empty if
        there is none. */
    std::string parameter(const std::string &name) const;
};

} // namespace boragetrack::transport::http
