/** Where the intent comes from and where the outcomes of moves are recorded. */
#pragma once

#include "control/distribution/ControlPlane.h"

#include <memory>

namespace boragetrack::daemon::service {

/** Joins a control plane to the platform's store; used on the control thread only. */
class IntentSource
{
public:
    virtual ~IntentSource() = default;

    /** Returns the holder for the form in which this source brings the intent. */
    virtual std::unique_ptr<control::distribution::IntentReplica> makeReplica() = 0;

    /** Begins to feed a control plane, which lives until detach(). */
    virtual void attach(control::distribution::ControlPlane &plane) = 0;

    /** Ends the feeding. */
    virtual void detach() = 0;

    /** Does what the control plane's state asks for; called several times a second. */
    virtual void update() = 0;

    /** Records a state of a move, unless a record is being written already. */
    virtual void record(const control::moves::MoveRecord &record) = 0;
};

} // namespace boragetrack::daemon::service
