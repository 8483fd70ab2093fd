/** Runs the control plane on the control thread. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "daemon/service/AnnouncementProcessor.h"
#include "daemon/service/ChangeLog.h"
#include "daemon/service/ControlMonitor.h"
#include "daemon/service/ControlThread.h"
#include "daemon/service/IntentSource.h"
#include "daemon/service/KeyMonitor.h"
#include "daemon/service/RevisionMonitor.h"
#include "daemon/service/RoutingPublisher.h"
#include "daemon/settings/NodeSettings.h"
#include "daemon/usage/UsageService.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/serving/UpstreamAnnouncement.h"

#include <nlohmann/json.hpp>

namespace boragetrack::daemon::service {

/** Owns the control plane. Posts events from other threads to it, and publishes its results as
    routing snapshots, log events and responses. */
class ControlService : private control::distribution::ControlPlane::Listener,
                       private core::timing::TimerService::Listener
{
public:
    /** Receives the status of the node's upstream; called on the control thread. */
    using UpstreamSink = AnnouncementProcessor::UpstreamSink;

    /** Settings and collaborators of the service; all references outlive it. */
    struct Dependencies
    {
        const settings::NodeSettings &settings;
        control::membership::MemberRecord self;
        ControlThread &thread;
        IntentSource &source;
        core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        RevisionMonitor &revisions;
        /** Receives when the store last confirmed what this node knows. */
        core::concurrency::Published<traffic::access::StoreContactTime> &storeContact;
        core::counters::CounterRegistry &counters;
        /** Null without usage reports. */
        usage::UsageService *usage = nullptr;
    };

    explicit ControlService(Dependencies dependencies);
    ~ControlService() override;

    /** Creates and starts the control plane on the control thread. @param transport and
        @param usageTransport outlive the control plane */
    void start(control::distribution::PeerTransport &transport,
               control::usage::UsageTransport &usageTransport, UpstreamSink upstreamSink);

    /** Announces to the peers that this node leaves. */
    void leave();

    /** Destroys the control plane; later events are dropped. */
    void stop();

    //==============================================================================
    /** Handles a value of the intent's key; called on any thread. */
    void storeValueReceived(const std::string &text);

    /** Handles an announcement of the native interface; called on any thread. */
    void upstreamAnnounced(const transport::serving::UpstreamStatus &status);

    /** Handles an announcement with a stamp, by which outdated ones are ignored; called on any
        thread. @param onProcessed called on the control thread once the announcement may be
        responded to; not called after stop() */
    void upstreamAnnounced(const transport::serving::UpstreamAnnouncement &announcement,
                           const AnnouncementProcessor::OutcomeSink &onProcessed);

    /** Records the outcome of a call to the upstream; called on any thread. */
    void callEnded(const control::moves::CallEvidence &evidence);

    /** Returns this node's state for operators; waits for the control thread. Null while the
        control plane does not run. */
    nlohmann::json status();

    /** Returns all members for operators, like status(). */
    nlohmann::json members();

    /** Returns the moves with their current shares for operators, like status(). */
    nlohmann::json moves();

    /** Returns the state of usage reports for operators, like status(); null without them. */
    nlohmann::json usageStatus();

    /** Returns the usage reports of this node; null without them. */
    usage::UsageService *usage() { return dependencies_.usage; }

    /** Runs a task on the control thread, then publishes a new routing snapshot if it is due.
        @returns false if the task was dropped; it is dropped later if the control plane does not
        run */
    bool post(std::function<void(control::distribution::ControlPlane &)> task);

private:
    void viewChanged() override { routingPublisher_.viewChanged(); }
    void intentInForce() override;
    void laterRevisionReported() override;
    void storeReadRequested() override;
    void intentRefused() override;
    void memberChanged(const control::membership::MemberRecord *previous,
                       const control::membership::MemberRecord &record) override;
    void dataCentreSilent(const core::identity::DataCentreId &dataCentre) override;
    void moveStopped(const control::intent::MoveIntent &move, const std::string &evidence) override;
    void timerElapsed(core::timing::MonotonicTime now) override;

    void recordMoves(core::timing::MonotonicTime now);
    void logCounters(core::timing::MonotonicTime now);
    void logMissingIntent(core::timing::MonotonicTime now);

    Dependencies dependencies_;
    // The following members are used on the control thread only.
    std::unique_ptr<control::distribution::ControlPlane> plane_;
    RoutingPublisher routingPublisher_;
    ChangeLog changeLog_;
    ControlMonitor monitor_;
    KeyMonitor keyMonitor_;
    AnnouncementProcessor announcements_;
    core::timing::MonotonicTime nextRecordAt_{};
    core::timing::MonotonicTime nextCountersAt_{};
    // The reason that was logged last for the lack of an intent, and when it is logged again.
    std::optional<control::distribution::IntentWaitReason> loggedWaitReason_;
    core::timing::MonotonicTime nextWaitLogAt_{};
    std::mt19937_64 random_{std::random_device{}()};
    std::unique_ptr<core::timing::ScopedTimer> timer_;
};

} // namespace boragetrack::daemon::service
