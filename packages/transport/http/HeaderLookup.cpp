/** Implements the search for headers. */
#include "transport/http/HeaderLookup.h"

#include <strings.h>

namespace boragetrack::transport::http {

namespace {

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

} // namespace

bool equalsIgnoreCase(std::string_view first, std::string_view second)
{
    return first.size() == second.size()
           && strncasecmp(first.data(), second.data(), first.size()) == 0;
}

const std::string *findHeader(const HeaderList &headers, std::string_view name)
{
    for (const auto &field : headers) {
        if (equalsIgnoreCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

bool hasToken(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        if (equalsIgnoreCase(trimmed(value.substr(0, comma)), token))
            return true;
        if (comma == std::string_view::npos)
            return false;
        value.remove_prefix(comma + 1);
    }
    return false;
}

} // namespace boragetrack::transport::http
