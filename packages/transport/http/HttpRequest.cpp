/** Searches headers without regard to case, and the query without percent-decoding. */
#include "transport/http/HttpRequest.h"

#include <strings.h>

namespace boragetrack::transport::http {

std::string HttpRequest::header(const std::string &name) const
{
    for (const auto &field : headers) {
        if (strcasecmp(field.name.c_str(), name.c_str()) == 0)
            return field.value;
    }
    return {};
}

std::string HttpRequest::parameter(const std::string &name) const
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        ++begin;
        const std::size_t end = target.find('&', begin);
        const std::string pair = target.substr(begin, end == std::string::npos ? end : end - begin);
        if (pair.rfind(name + "=", 0) == 0)
            return pair.substr(name.size() + 1);
        begin = end;
    }
    return {};
}

} // namespace boragetrack::transport::http
