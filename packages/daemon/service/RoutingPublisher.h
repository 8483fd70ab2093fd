/** The publication of routing snapshots. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "core/concurrency/Published.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/routing/DataCentreRampUp.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <chrono>
#include <memory>

namespace boragetrack::daemon::service {

/** Publishes the control plane's state to the threads that carry traffic: at once when an intent
    comes into force, otherwise at intervals, since members often change in bursts. Used on the
    control thread only. */
class RoutingPublisher
{
public:
    /** The least time between two snapshots of a small deployment. */
    static constexpr std::chrono::milliseconds minimumInterval{100};
    /** What each member adds to that time: a snapshot takes longer to build with more members, and
        more of them change. */
    static constexpr std::chrono::microseconds intervalPerMember{500};
    /** The most time between a change and its snapshot in any deployment: a drain must be known
       soon, also where many departed members are still remembered. */
    static constexpr std::chrono::milliseconds maximumInterval{500};

    /** @param routing receives the snapshots; must outlive this object */
    explicit RoutingPublisher(
            core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing)
        : routing_(routing)
    {}

    /** Records that versions' shares or other parts of the view changed, but no member. */
    void viewChanged() { isStale_ = true; }

    /** Records that a member changed. */
    void memberChanged();

    /** Publishes a snapshot of a new intent. */
    void intentInForce(const control::distribution::ControlPlane &plane,
                       core::timing::MonotonicTime now);

    /** Publishes a snapshot if something changed and the last one is old enough. */
    void update(const control::distribution::ControlPlane &plane, core::timing::MonotonicTime now);

private:
    void publish(const control::distribution::ControlPlane &plane, core::timing::MonotonicTime now);

    core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing_;
    traffic::routing::DataCentreRampUp rampUp_;
    // The members of the last snapshot; null when they changed since.
    std::shared_ptr<const traffic::routing::RoutableMembers> members_;
    // The access policy of the intent in force. Invariant: never null.
    std::shared_ptr<const traffic::access::AccessPolicy> access_
            = std::make_shared<traffic::access::OpenAccess>();
    // Where the intent in force came from; null before the first one.
    std::shared_ptr<const traffic::routing::IntentOrigin> origin_;
    // Invariant: never null.
    std::shared_ptr<const traffic::routing::IntentHistory> history_
            = std::make_shared<traffic::routing::IntentHistory>();
    core::timing::MonotonicTime publishedAt_{};
    bool isStale_ = false;
};

} // namespace boragetrack::daemon::service
