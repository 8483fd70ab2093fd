/** A part of a message's body. */
#pragma once

#include <string>

namespace boragetrack::transport::http {

/** Holds some bytes of a body; the last piece may be empty. */
struct BodyPiece
{
    std::string bytes;
    bool isLast = false;
};

} // namespace boragetrack::transport::http
