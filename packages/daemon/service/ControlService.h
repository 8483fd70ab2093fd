/** The control plane on its thread. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "control/membership/AnnouncementFilter.h"
#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "daemon/service/ControlThread.h"
#include "daemon/service/IntentSource.h"
#include "daemon/service/RevisionMonitor.h"
#include "daemon/settings/NodeSettings.h"
#include "traffic/routing/DataCentreRampUp.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/links/PeerEventSink.h"
#include "transport/links/PeerRequestHandler.h"
#include "transport/serving/UpstreamAnnouncement.h"

#include <nlohmann/json.hpp>

namespace boragetrack::daemon::service {

/** Owns the control plane, feeds it events from other threads and carries out what it decides. */
class ControlService : public transport::links::PeerRequestHandler,
                       public transport::links::PeerEventSink,
                       private control::distribution::ControlPlane::Listener,
                       private core::timing::TimerService::Listener
{
public:
    /** Takes what is known of the upstream beside this node. */
    using UpstreamSink
            = std::function<void(const std::optional<transport::serving::UpstreamStatus> &)>;

    /** What the service works with; all references outlive it. */
    struct Dependencies
    {
        const settings::NodeSettings &settings;
        control::membership::MemberRecord self;
        ControlThread &thread;
        IntentSource &source;
        core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        RevisionMonitor &revisions;
        core::counters::CounterRegistry &counters;
    };

    explicit ControlService(Dependencies parts);
    ~ControlService() override;

    /** Creates the control plane on the control thread and begins its work. */
    void start(control::distribution::PeerTransport &transport, UpstreamSink upstreamSink);

    /** Tells the peers that this node leaves. */
    void leave();

    /** Destroys the control plane; later events are dropped. */
    void stop();

    //==============================================================================
    /** Takes a value of the intent's key; called on any thread. */
    void storeValueReceived(const std::string &text);

    /** Takes an announcement of the upstream; called on any thread. */
    void upstreamAnnounced(const transport::serving::UpstreamStatus &status);

    /** Takes an announcement whose place among others is known; called on any thread.
        @param whenBound is called on the control thread once the announcement binds this node */
    void upstreamAnnounced(const transport::serving::UpstreamAnnouncement &announcement,
                           const std::function<void()> &whenBound);

    /** Takes the outcome of a call; called on any thread. */
    void callEnded(const control::moves::CallEvidence &evidence);

    /** Returns this node's state for operators; blocks for the control thread. */
    nlohmann::json status();

    /** Returns all members for operators; blocks for the control thread. */
    nlohmann::json members();

    /** Returns the moves with their present shares; blocks for the control thread. */
    nlohmann::json moves();

    //==============================================================================
    void handleExchange(control::distribution::Exchange request,
                        Callback<control::distribution::Exchange> reply) override;
    void handlePush(core::identity::NodeId sender, control::distribution::IntentTransfer transfer,
                    Callback<core::identity::Revision> reply) override;
    void handleFetchIntent(core::identity::Revision have,
                           Callback<control::distribution::IntentTransfer> reply) override;
    void
    handleFetchMembers(control::membership::MemberTable::BucketHashes hashes,
                       Callback<std::vector<control::membership::MemberRecord>> reply) override;

    void exchangeResponseReceived(control::distribution::PeerContact peer,
                                  control::distribution::Exchange answer) override;
    void exchangeFailed(control::distribution::PeerContact peer) override;
    void intentFetched(control::distribution::PeerContact peer,
                       control::distribution::IntentTransfer transfer) override;
    void pushResponseReceived(core::identity::Revision peerRevision) override;
    void membersFetched(std::vector<control::membership::MemberRecord> records) override;

private:
    void viewChanged() override { isViewStale_ = true; }
    void intentInForce() override;
    void intentRefused() override;
    void memberChanged(const control::membership::MemberRecord *previous,
                       const control::membership::MemberRecord &record) override;
    void dataCentreSilent(const core::identity::DataCentreId &dataCentre) override;
    void moveStopped(const control::intent::MoveIntent &move, const std::string &evidence) override;
    void timerElapsed(core::timing::MonotonicTime now) override;

    // Runs a task on the control thread, and publishes a new view if the task changed it.
    bool post(std::function<void(control::distribution::ControlPlane &)> task);
    void publishIfStale();
    void publishView();
    static void logUpstream(const transport::serving::UpstreamStatus &status);
    void takeStatus(control::distribution::ControlPlane &plane,
                    const transport::serving::UpstreamStatus &status);
    void expireUpstream(core::timing::MonotonicTime now);
    void recordMoves(core::timing::MonotonicTime now);
    void logCounters(core::timing::MonotonicTime now);

    Dependencies dependencies_;
    UpstreamSink upstreamSink_;
    // All below is used on the control thread only.
    std::unique_ptr<control::distribution::ControlPlane> plane_;
    traffic::routing::DataCentreRampUp ramp_;
    bool isViewStale_ = false;
    core::timing::MonotonicTime publishedAt_{};
    std::optional<transport::serving::UpstreamStatus> upstream_;
    control::membership::AnnouncementFilter announcementFilter_;
    core::timing::MonotonicTime announcedAt_{};
    core::timing::MonotonicTime nextRecordAt_{};
    core::timing::MonotonicTime nextCountersAt_{};
    std::mt19937_64 random_{std::random_device{}()};
    std::unique_ptr<core::timing::ScopedTimer> timer_;
};

} // namespace boragetrack::daemon::service
