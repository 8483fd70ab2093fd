/** Writes heads with the header fields that frame the body, and filters the fields that concern a
    single connection. */
#include "transport/http/MessageWriter.h"

#include <array>
#include <cstdio>

namespace boragetrack::transport::http {

namespace {

constexpr std::array hopByHopHeaders{
        "Connection", "Content-Length",      "Expect",           "Keep-Alive",
        "TE",         "Proxy-Authorization", "Proxy-Connection", "Proxy-Authenticate",
        "Trailer",    "Transfer-Encoding",   "Upgrade"};

constexpr int noContent = 204;
constexpr int notModified = 304;

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void append(std::string &text, const HeaderList &headers)
{
    for (const auto &field : headers)
        text += field.name + ": " + field.value + "\r\n";
}

void appendFraming(std::string &text, std::optional<std::uint64_t> bodyLength)
{
    if (bodyLength)
        text += "Content-Length: " + std::to_string(*bodyLength) + "\r\n";
    else
        text += "Transfer-Encoding: chunked\r\n";
}

void appendStatusLine(std::string &text, int status)
{
    text += "HTTP/1.1 " + std::to_string(status) + " ";
    text += reasonPhrase(status);
    text += "\r\n";
}

void appendEnd(std::string &text, bool keepsConnection)
{
    if (!keepsConnection)
        text += "Connection: close\r\n";
    text += "\r\n";
}

bool usuallyHasBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

std::string serializeHead(const RequestHead &head, std::optional<std::uint64_t> bodyLength)
{
    std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
    append(text, head.headers);
    if (!bodyLength || *bodyLength > 0 || usuallyHasBody(head.method))
        appendFraming(text, bodyLength);
    return text + "\r\n";
}

std::string serializeHead(const ResponseHead &head, std::optional<std::uint64_t> bodyLength,
                          bool keepsConnection)
{
    std::string text;
    appendStatusLine(text, head.status);
    append(text, head.headers);
    if (head.status != noContent && head.status != notModified)
        appendFraming(text, bodyLength);
    appendEnd(text, keepsConnection);
    return text;
}

std::string serializeHeadWithoutBody(const ResponseHead &head, bool keepsConnection)
{
    std::string text;
    appendStatusLine(text, head.status);
    append(text, head.headers);
    appendEnd(text, keepsConnection);
    return text;
}

std::string encodeChunk(const std::string &bytes)
{
    if (bytes.empty())
        return {};
    char size[20];
    const int length = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return std::string(size, static_cast<std::size_t>(length)) + bytes + "\r\n";
}

bool isHopByHopHeader(const std::string &name, const HeaderList &headers)
{
    for (const char *excluded : hopByHopHeaders) {
        if (equalsIgnoreCase(name, excluded))
            return true;
    }
    const std::string *connection = findHeader(headers, "Connection");
    return connection != nullptr && hasToken(*connection, name);
}

HeaderList endToEndHeaders(const HeaderList &headers)
{
    HeaderList forwarded;
    for (const auto &field : headers) {
        if (!isHopByHopHeader(field.name, headers))
            forwarded.push_back(field);
    }
    return forwarded;
}

} // namespace boragetrack::transport::http
