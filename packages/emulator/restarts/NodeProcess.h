/** One process of a simulated node. */
#pragma once

#include "daemon/service/AnnouncementProcessor.h"
#include "daemon/service/RecordSource.h"
#include "emulator/restarts/EventTimerService.h"
#include "emulator/restarts/LoadCounter.h"
#include "emulator/restarts/RestartLog.h"
#include "emulator/restarts/RestartResult.h"
#include "emulator/restarts/SimulatedNetwork.h"
#include "emulator/restarts/StoreClient.h"

namespace boragetrack::emulator::restarts {

/** Composes the control state of a node as the daemon does: control plane, source of records and
    processor of announcements. Ends without notice when it is destroyed. */
class NodeProcess : public std::enable_shared_from_this<NodeProcess>,
                    private control::distribution::PeerTransport,
                    private control::distribution::ControlPlane::Listener,
                    private core::timing::TimerService::Listener
{
public:
    /** What a process uses; all references outlive it. */
    struct Dependencies
    {
        clock::EventClock &clock;
        SimulatedStore &store;
        SimulatedNetwork &network;
        RestartLog &log;
        std::vector<Violation> &violations;
        std::size_t node = 0;
        core::identity::NodeId id;
        core::identity::DataCentreId dataCentre;
        /** The number of this start of the node. */
        std::uint64_t generation = 0;
        std::uint64_t seed = 0;
    };

    /** A process that had an intent in force when it was in contact with this one. */
    struct Contact
    {
        std::weak_ptr<NodeProcess> source;
        core::timing::MonotonicTime at;
    };

    explicit NodeProcess(Dependencies dependencies);
    ~NodeProcess() override;
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    /** Starts the control state; must be called once, when a shared pointer owns this object. */
    void start();

    /** Announces to the peers that this node leaves. */
    void leave();

    /** Handles that the link to a node has ended. */
    void disconnect(const core::identity::NetworkAddress &address);

    /** Makes the connections to the store silent that are open now. */
    void silenceStoreConnections() { store_.silenceConnections(); }

    /** Runs a task as one of this process. */
    void run(const std::function<void()> &task);

    /** Handles an announcement of the node's upstream. */
    void announce(const transport::serving::UpstreamAnnouncement &announcement,
                  const daemon::service::AnnouncementProcessor::OutcomeSink &onProcessed);

    /** Records calls to the node's upstream while a move runs, of which those to the new version
        mostly fail. */
    void recordCalls();

    //==============================================================================
    std::size_t node() const { return dependencies_.node; }
    core::timing::MonotonicTime startedAt() const { return startedAt_; }
    core::identity::Revision revisionInForce() const { return revisionInForce_; }
    bool isSelectedFollower() const { return plane_->isSelectedFollower(); }
    bool hasIntent() const { return revisionInForce_ != core::identity::Revision{}; }
    int storeCalls() const { return store_.callCount(); }

    /** Returns the counts of what this process received and sent. */
    LoadCounter &load() { return load_; }

    /** Returns the first contact with a process that had an intent while this one had none. */
    const std::optional<Contact> &contact() const { return contact_; }

    /** Makes contact() start again, because the other process can't be reached any more. */
    void forgetContact() { contact_.reset(); }

    /** Returns the instance that gets calls, or an empty text if there is none. */
    std::string servingInstance() const;

    /** Returns whether this process knows that the new version is bad. */
    bool knowsVerdict() const { return knowsVerdict_; }

    /** Returns whether calls may go to the new version. */
    bool mayServeNewVersion() const;

    /** Returns the revisions that this process holds and has in force, for reports. */
    std::string describeIntent() const;

    /** Adds a violation, unless this process has broken the rule before. */
    void reportViolation(const std::string &rule, const std::string &detail);

private:
    void sendExchange(const control::distribution::PeerContact &peer,
                      const control::distribution::Exchange &exchange) override;
    void pushIntent(const control::distribution::PeerContact &peer,
                    const control::distribution::IntentTransfer &transfer) override;
    void fetchIntent(const control::distribution::PeerContact &peer,
                     core::identity::Revision have) override;
    void fetchMembers(const control::distribution::PeerContact &peer,
                      const control::membership::MemberTable::BucketHashes &hashes) override;

    void viewChanged() override {}
    void intentInForce() override;
    void laterRevisionReported() override { source_.laterRevisionReported(); }
    void storeReadRequested() override { source_.storeReadRequested(); }
    void intentRefused() override {}
    void memberChanged(const control::membership::MemberRecord *previous,
                       const control::membership::MemberRecord &record) override;
    void dataCentreSilent(const core::identity::DataCentreId & /*dataCentre*/) override {}
    void moveStopped(const control::intent::MoveIntent &move, const std::string &evidence) override;
    void timerElapsed(core::timing::MonotonicTime now) override;

    core::identity::NodeId id() const;
    core::timing::WallTime wallTime() const;
    void logExchange(const control::distribution::Exchange &exchange);
    void recordContact(const std::weak_ptr<NodeProcess> &other);

    Dependencies dependencies_;
    const core::timing::MonotonicTime startedAt_;
    EventTimerService timers_;
    StoreClient store_;
    daemon::service::RecordSource source_;
    daemon::service::AnnouncementProcessor announcements_;
    std::unique_ptr<control::distribution::ControlPlane> plane_;
    std::optional<core::timing::ScopedTimer> timer_;
    core::identity::Revision revisionInForce_;
    std::optional<Contact> contact_;
    std::optional<transport::serving::UpstreamStatus> upstream_;
    bool knowsVerdict_ = false;
    LoadCounter load_;
    std::set<std::string> brokenRules_;
};

} // namespace boragetrack::emulator::restarts
