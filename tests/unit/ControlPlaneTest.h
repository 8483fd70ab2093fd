/** A fixture for tests of what a node does with the events of its control plane. */
#pragma once

#include "RecordingTransport.h"
#include "control/distribution/ControlPlane.h"
#include "control/membership/RingNeighbours.h"
#include "control/moves/StandardMovePolicies.h"
#include "core/timing/ManualTimerService.h"

#include <gtest/gtest.h>

namespace boragetrack::tests {

/** A control plane of the node "self" in the data centre "ikeja", and a listener that ignores its
    events. */
class ControlPlaneTest : public testing::Test, public control::distribution::ControlPlane::Listener
{
protected:
    void viewChanged() override {}
    void intentInForce() override {}
    void intentRefused() override {}
    void memberChanged(const control::membership::MemberRecord * /*previous*/,
                       const control::membership::MemberRecord & /*record*/) override
    {}
    void dataCentreSilent(const core::identity::DataCentreId & /*dataCentre*/) override {}
    void moveStopped(const control::intent::MoveIntent & /*move*/,
                     const std::string & /*evidence*/) override
    {}

    static control::distribution::ControlPlane::Dependencies dependencies()
    {
        control::distribution::ControlPlane::Dependencies result;
        result.self.id = core::identity::NodeId("self");
        result.self.version.generation = 2000;
        result.self.peerAddress = {"10.0.0.1", 7000};
        result.self.dataCentre = core::identity::DataCentreId("ikeja");
        result.neighbours = std::make_unique<control::membership::RingNeighbours>();
        result.movePolicies = std::make_unique<control::moves::StandardMovePolicies>();
        result.wallClock = [] { return core::timing::WallTime{}; };
        return result;
    }

    RecordingTransport transport_;
    core::timing::ManualTimerService timers_;
    control::distribution::ControlPlane plane_{dependencies(), transport_, timers_, *this};
};

} // namespace boragetrack::tests
