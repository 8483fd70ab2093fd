/** What a response says of a call. */
#pragma once

namespace boragetrack::transport::dialect {

/** Tells whether a response answers the call and whether that ran. */
enum class ResponseKind {
    /** The upstream ran the call. */
    Completed,
    /** The upstream refused the call and did not run it. */
    NotRun,
    /** Another process has the upstream's address; it did not run the call. */
    WrongInstance,
    /** The response belongs to another call. */
    OtherRequest,
    /** The response answers no call; this one may have run. */
    Malformed,
};

} // namespace boragetrack::transport::dialect
