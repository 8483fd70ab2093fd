/** The intent and the departures of upstreams as records of the platform's store. */
#pragma once

#include "control/distribution/RecordReplica.h"
#include "control/records/LeasedRecord.h"
#include "control/records/MoveWriter.h"
#include "control/records/StoreDepartureKeeper.h"
#include "control/records/StoreFollower.h"
#include "daemon/service/IntentSource.h"

#include <functional>
#include <optional>
#include <random>

namespace boragetrack::daemon::service {

/** Follows the store's records, maintains the record of this node, and records moves and
    departures. */
class RecordSource : public IntentSource,
                     private control::records::StoreFollower::Listener,
                     private control::records::RecordContent
{
public:
    /** Settings and collaborators of a source; references outlive it. */
    struct Dependencies
    {
        control::records::RecordStore &store;
        core::timing::TimerService &timers;
        /** Creates the reader of the records. */
        std::function<std::unique_ptr<control::records::RecordReader>()> makeReader;
        std::unique_ptr<control::records::MoveWriter> moveWriter;
        core::identity::NodeId node;
        core::identity::NetworkAddress peerAddress;
        std::uint64_t randomSeed = 0;
        /** Follows the records that all nodes keep; null for none. */
        control::records::RecordObserver *observer = nullptr;
        /** The time between two probes of the store. @see WatchMonitor */
        std::chrono::milliseconds probePeriod = control::records::WatchMonitor::probePeriod;
        /** Whether one follower probes for all, as long as the others hear from it. */
        bool areProbesShared = true;
    };

    explicit RecordSource(Dependencies dependencies)
        : dependencies_(std::move(dependencies))
        , departures_(dependencies_.store, dependencies_.timers, dependencies_.node)
        , random_(dependencies_.randomSeed)
    {}

    std::unique_ptr<control::distribution::IntentReplica> makeReplica() override;
    void attach(control::distribution::ControlPlane &plane) override;
    void detach() override;
    void update() override;
    void laterRevisionReported() override;
    void storeReadRequested() override;
    control::membership::DepartureKeeper &departureKeeper() override { return departures_; }
    void recordMove(const control::moves::MoveRecord &record) override;

private:
    void recordsListed(const std::vector<control::records::StoreRecord> &records,
                       core::identity::Revision revision) override;
    void recordsChanged(const control::records::RecordChanges &changes) override;
    void storeUnavailable(const absl::Status &error) override;
    void storeRecovered() override;
    void storeContacted() override { reportContact(); }
    void proofMissing(const absl::Status &reason) override;
    std::optional<core::timing::MonotonicTime> sharedContact() const override;
    std::string text() const override;
    bool isCurrent(const std::string &stored) const override;
    void logStoreRole(bool follows) const;
    void logProofRegained();
    bool needsNodeRecord() const;
    void resumeIfPaused();
    void noticeEra();
    std::chrono::milliseconds probePeriod() const;
    void reportContact();
    void reportPeers(const std::vector<control::records::StoreRecord> &records);
    void handleRecordResponse(const control::moves::MoveRecord &record,
                              const absl::StatusOr<core::identity::Revision> &response);

    Dependencies dependencies_;
    control::records::StoreDepartureKeeper departures_;
    // Owned by the control plane; set between makeReplica() and detach().
    control::distribution::RecordReplica *replica_ = nullptr;
    control::distribution::ControlPlane *plane_ = nullptr;
    std::optional<control::records::StoreFollower> follower_;
    std::optional<control::records::LeasedRecord> leasedRecord_;
    bool isRecording_ = false;
    // Since when the store has served no call that proves the held revision, neither this node's
    // nor one of a node that told; nothing while it does.
    std::optional<core::timing::MonotonicTime> proofMissingSince_;
    // The era of the records that this node holds; nothing before it held any.
    std::optional<std::uint64_t> era_;
    // The era of the last listing of the store.
    std::uint64_t listedEra_ = 0;
    // Whether this node had to follow the store at the last update; initially all nodes do.
    bool isFollowRequired_ = true;
    std::mt19937_64 random_;
    // Whether the last listing contained no other node, when it was received, and when this node
    // registers unless it knows another one by then.
    bool isOnlyListedNode_ = false;
    core::timing::MonotonicTime listedAt_{};
    core::timing::MonotonicTime registersAt_{};
    core::timing::MonotonicTime updatedAt_{};
};

} // namespace boragetrack::daemon::service
