/** The interface to the place that keeps the departures of a node's upstreams across restarts. */
#pragma once

#include "control/membership/AnnouncementStamp.h"

namespace boragetrack::control::membership {

/** Keeps the departures that a node's upstreams announced, for the node's later processes. Used on
    the control thread only. */
class DepartureKeeper
{
public:
    virtual ~DepartureKeeper() = default;

    /** Starts to keep a departure, and tries again after failures. Does nothing if it is kept or
        being written. */
    virtual void keep(const AnnouncementStamp &departure) = 0;

    /** Returns whether later processes of this node will learn of the departure. */
    virtual bool isKept(const AnnouncementStamp &departure) const = 0;
};

} // namespace boragetrack::control::membership
