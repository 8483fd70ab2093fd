/** What room in the memory budget is used for. */
#pragma once

namespace boragetrack::transport::http {

/** Decides what gives way to bytes that need room. */
enum class RoomUse {
    /** The body of a request that takes little: closes any reader if idle ones do not suffice. */
    SmallBody,
    /** The body of a request: leaves the room that responses wait for, and closes idle readers. */
    LargeBody,
    /** A response of a call that ran and can wait: closes idle readers. */
    Response,
    /** A response that has waited, or that can not wait: closes any reader. */
    LateResponse
};

} // namespace boragetrack::transport::http
