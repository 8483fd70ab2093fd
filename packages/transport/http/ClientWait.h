/** What a connection waits for its client to do. */
#pragma once

#include <cstdint>

namespace boragetrack::transport::http {

/** Two equal waits for something, one idle timeout apart, show that the client does nothing. */
struct ClientWait
{
    enum class Kind { Nothing, Body, Reading };

    Kind kind = Kind::Nothing;
    /** How much the client has sent or taken so far: bytes of input or parts of responses. */
    std::uint64_t progress = 0;

    bool operator==(const ClientWait &) const = default;
};

} // namespace boragetrack::transport::http
