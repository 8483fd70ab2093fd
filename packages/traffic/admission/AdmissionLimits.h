/** The bounds that intent and announcement set on admission. */
#pragma once

namespace boragetrack::traffic::admission {

/** Bounds the requests at once and the queue of one upstream. */
struct AdmissionLimits
{
    /** Requests at once for an upstream that just started. */
    int start = 2;
    /** Requests at once at most. */
    int maximum = 10;
    /** Requests that may wait. */
    int queue = 40;
};

} // namespace boragetrack::traffic::admission
