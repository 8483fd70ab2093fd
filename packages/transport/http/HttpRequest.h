/** An HTTP request. */
#pragma once

#include "traffic/calls/HeaderField.h"

#include <string>
#include <vector>

namespace boragetrack::transport::http {

/** Holds a request as a server received it or a client sends it. */
struct HttpRequest
{
    std::string method;
    /** Path and query. */
    std::string target;
    std::vector<traffic::calls::HeaderField> headers;
    std::string body;

    /** Returns a header's value, ignoring the case of its name; empty without it. */
    std::string header(const std::string &name) const;

    /** Returns the path without the query. */
    std::string path() const { return target.substr(0, target.find('?')); }

    /** Returns a parameter of the query; empty without it. */
    std::string parameter(const std::string &name) const;
};

} // namespace boragetrack::transport::http
