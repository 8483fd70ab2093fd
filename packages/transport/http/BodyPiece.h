/** The unit in which message bodies are read. */
#pragma once

#include <string>

namespace boragetrack::transport::http {

/** Holds consecutive bytes of a message body; the last piece may be empty. */
struct BodyPiece
{
    std::string bytes;
    bool isLast = false;
};

} // namespace boragetrack::transport::http
