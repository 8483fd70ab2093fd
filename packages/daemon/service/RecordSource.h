/** The intent as entries of the platform's store. */
#pragma once

#include "control/distribution/RecordReplica.h"
#include "control/records/LeasedRecord.h"
#include "control/records/MoveWriter.h"
#include "control/records/StoreFollower.h"
#include "daemon/service/IntentSource.h"

#include <functional>
#include <optional>

namespace boragetrack::daemon::service {

/** Follows the store's entries, keeps this node's own one and records moves. */
class RecordSource : public IntentSource, private control::records::StoreFollower::Listener
{
public:
    /** What a source works with; references outlive it. */
    struct Dependencies
    {
        control::records::RecordStore &store;
        core::timing::TimerService &timers;
        /** Makes the reader of the entries. */
        std::function<std::unique_ptr<control::records::RecordReader>()> makeReader;
        std::unique_ptr<control::records::MoveWriter> moveWriter;
        core::identity::NodeId node;
        core::identity::NetworkAddress peerAddress;
    };

    explicit RecordSource(Dependencies parts)
        : dependencies_(std::move(parts))
    {}

    std::unique_ptr<control::distribution::IntentReplica> makeReplica() override;
    void attach(control::distribution::ControlPlane &plane) override;
    void detach() override;
    void update() override;
    void record(const control::moves::MoveRecord &record) override;

private:
    void recordsListed(const std::vector<control::records::StoreRecord> &records,
                       core::identity::Revision revision) override;
    void recordsChanged(const control::records::RecordChanges &changes) override;
    void storeUnavailable(const absl::Status &error) override;
    void storeRecovered() override;
    void logRole(bool follows) const;
    bool isEntryWanted() const;
    void discover(const std::vector<control::records::StoreRecord> &records);
    void recordEnded(const control::moves::MoveRecord &record,
                     const absl::StatusOr<core::identity::Revision> &answer);

    Dependencies dependencies_;
    // Belongs to the control plane; set between makeReplica() and detach().
    control::distribution::RecordReplica *holder_ = nullptr;
    control::distribution::ControlPlane *plane_ = nullptr;
    std::optional<control::records::StoreFollower> follower_;
    std::optional<control::records::LeasedRecord> leasedRecord_;
    bool isRecording_ = false;
    // Whether this node was to follow the store at the last look; all do at the start.
    bool isFollowWanted_ = true;
    // Whether the last listing named no other node, and when it came.
    bool isAlone_ = false;
    core::timing::MonotonicTime listedAt_{};
};

} // namespace boragetrack::daemon::service
