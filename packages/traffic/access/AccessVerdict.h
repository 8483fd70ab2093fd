/** The outcomes of the access check. */
#pragma once

namespace boragetrack::traffic::access {

/** Tells whether a request may be served. */
enum class AccessVerdict {
    Granted,
    /** The request lacks a valid key; callers take this as final. */
    Unauthorized,
    /** This node can not decide at present; the request may be sent again. */
    Undecided,
};

} // namespace boragetrack::traffic::access
