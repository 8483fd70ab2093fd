/** Departures in the memory of a node's peers. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "control/membership/DepartureKeeper.h"

namespace boragetrack::daemon::service {

/** Relies on the peers, which keep each departure that this node publishes and return it; used
    where no store keeps departures. They forget it when all of them end. */
class PeerDepartureKeeper : public control::membership::DepartureKeeper
{
public:
    /** Sets the control plane whose peers are asked; null for none. */
    void setControlPlane(const control::distribution::ControlPlane *plane) { plane_ = plane; }

    /** Does nothing, since the control plane publishes the departure with the node's record. */
    void keep(const control::membership::AnnouncementStamp & /*departure*/) override {}

    /** A node without neighbours has nobody to keep its departures. */
    bool isKept(const control::membership::AnnouncementStamp &departure) const override
    {
        if (plane_ == nullptr)
            return false;
        const auto &replicated = plane_->replicatedDeparture();
        return plane_->membership().neighbours().empty()
               || (replicated && (*replicated == departure || replicated->isLaterThan(departure)));
    }

private:
    const control::distribution::ControlPlane *plane_ = nullptr;
};

} // namespace boragetrack::daemon::service
