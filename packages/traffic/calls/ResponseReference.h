/** The ways in which an upstream's response identifies its request. */
#pragma once

namespace boragetrack::traffic::calls {

/** Indicates how a response refers to the request that it belongs to. */
enum class ResponseReference {
    /** By the request's identifier. */
    Identifier,
    /** By its position on the connection, as all responses on this interface. */
    Position,
    /** Not at all: it lacks the identifier that responses on this interface carry. */
    None,
};

} // namespace boragetrack::traffic::calls
