/** The classes of responses that an upstream may send. */
#pragma once

namespace boragetrack::transport::dialect {

/** Indicates whether a response belongs to the call and whether the call ran. */
enum class ResponseKind {
    /** The upstream ran the call. */
    Completed,
    /** The upstream refused the call and did not run it. */
    NotRun,
    /** It has a status by which callers conclude that the call did not run, which the upstream does
        not state; the call may have run. */
    UnprovenRefusal,
    /** Another process listens at the upstream's address; it did not run the call. */
    WrongInstance,
    /** The response belongs to another request. */
    OtherRequest,
    /** The response lacks a field by which it is attributed; the call may have run. */
    Malformed,
};

} // namespace boragetrack::transport::dialect
