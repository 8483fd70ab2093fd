/** The bounds on admission that come from the intent and the upstream's announcement. */
#pragma once

namespace boragetrack::traffic::admission {

/** Bounds the concurrency and the queue of one upstream, in requests. */
struct AdmissionLimits
{
    /** The concurrency limit of an upstream that has just started. */
    int start = 2;
    /** The highest concurrency limit. */
    int maximum = 10;
    /** The length of the queue. */
    int queue = 40;
};

} // namespace boragetrack::traffic::admission
