/** The load of an upstream, carried back on answers. */
#pragma once

namespace boragetrack::traffic::calls {

/** Tells how busy the upstream beside the answering node is. */
struct LoadReport
{
    int inFlight = 0;
    int queued = 0;
    /** Requests at once that the upstream is given at present; zero when not known. */
    int limit = 0;
};

} // namespace boragetrack::traffic::calls
