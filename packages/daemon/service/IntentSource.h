/** Interface to the store for the intent and the outcomes of moves. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "control/membership/DepartureKeeper.h"

#include <memory>

namespace boragetrack::daemon::service {

/** Connects a control plane to the platform's store. Used on the control thread only. */
class IntentSource
{
public:
    virtual ~IntentSource() = default;

    /** Returns a replica for the format in which this source delivers the intent. */
    virtual std::unique_ptr<control::distribution::IntentReplica> makeReplica() = 0;

    /** Starts to deliver the intent to a control plane, which must live until detach(). */
    virtual void attach(control::distribution::ControlPlane &plane) = 0;

    /** Stops the delivery. */
    virtual void detach() = 0;

    /** Adapts to the role that the control plane assigns to this node; called several times per
        second. */
    virtual void update() = 0;

    /** Handles that another node holds a later revision than this one. */
    virtual void laterRevisionReported() {}

    /** Reads the changes for another node, which the store does not serve. */
    virtual void storeReadRequested() {}

    /** Returns the keeper of departures of this node's upstreams. */
    virtual control::membership::DepartureKeeper &departureKeeper() = 0;

    /** Records the outcome of a move; does nothing while another record is being written. */
    virtual void recordMove(const control::moves::MoveRecord &record) = 0;
};

} // namespace boragetrack::daemon::service
