/** Implements RecordSource. */
#include "daemon/service/RecordSource.h"

#include "control/records/NodeRecord.h"
#include "core/events/EventLog.h"

#include <algorithm>
#include <random>

namespace boragetrack::daemon::service {

using control::distribution::ControlPlane;
using control::distribution::RecordReplica;
using control::moves::MoveRecord;
using control::records::StoreRecord;
using core::events::EventCode;
using core::identity::Revision;

namespace {

constexpr std::chrono::milliseconds recordTimeout{1500};
// The time in which a new node has learned the members from the peers that the store names.
constexpr std::chrono::milliseconds settlingTime{1500};

const char *nameOf(control::intent::MoveState state)
{
    switch (state) {
    case control::intent::MoveState::Done:
        return "done";
    case control::intent::MoveState::TakenBack:
        return "taken back";
    case control::intent::MoveState::Running:
        break;
    }
    return "running";
}

} // namespace

std::unique_ptr<control::distribution::IntentReplica> RecordSource::makeReplica()
{
    auto holder = std::make_unique<RecordReplica>(dependencies_.makeReader());
    holder_ = holder.get();
    return holder;
}

void RecordSource::attach(ControlPlane &plane)
{
    plane_ = &plane;
    plane_->storeFollowingChanged(false);
    leasedRecord_.emplace(dependencies_.store, dependencies_.timers,
                          control::records::nodeRecordKey(dependencies_.node),
                          control::records::nodeRecordText(dependencies_.peerAddress));
    control::records::StoreFollower::Listener &listener = *this;
    follower_.emplace(dependencies_.store, dependencies_.timers, listener, std::random_device{}());
    follower_->start();
}

void RecordSource::update()
{
    const bool mustFollow = plane_->mustFollowStore();
    if (mustFollow != isFollowWanted_)
        logRole(mustFollow);
    isFollowWanted_ = mustFollow;
    follower_->setActive(mustFollow, holder_->table().revision());
    plane_->storeFollowingChanged(follower_->isFollowing());
    leasedRecord_->setActive(isEntryWanted());
}

void RecordSource::logRole(bool follows) const
{
    core::events::logEvent(EventCode::StoreRoleChanged, "store role changed",
                           {{"follows", follows ? "yes" : "no"},
                            {"chosen", plane_->isSelectedFollower() ? "yes" : "no"},
                            {"revision", std::to_string(holder_->table().revision().number())}});
}

// Each entry costs calls, of this node and of those that watch. A new node finds all others by the
// entries of a few, and needs one of its own only if it is one of these.
bool RecordSource::isEntryWanted() const
{
    const bool hasSettled = dependencies_.timers.now() - listedAt_ >= settlingTime;
    return hasSettled ? plane_->isSelectedFollower() : isAlone_;
}

void RecordSource::detach()
{
    follower_.reset();
    leasedRecord_.reset();
    plane_ = nullptr;
    holder_ = nullptr;
}

//==============================================================================
void RecordSource::recordsListed(const std::vector<StoreRecord> &records, Revision revision)
{
    core::events::logEvent(EventCode::StoreListed, "store listed",
                           {{"revision", std::to_string(revision.number())},
                            {"entries", std::to_string(records.size())}});
    plane_->storeFollowingChanged(true);
    plane_->storeUpdateReceived(holder_->applyListing(records, revision));
    const std::string own = control::records::nodeRecordKey(dependencies_.node);
    isAlone_ = std::none_of(records.begin(), records.end(), [&](const StoreRecord &record) {
        return record.key.starts_with(control::records::nodeRecordPrefix) && record.key != own;
    });
    listedAt_ = dependencies_.timers.now();
    leasedRecord_->setActive(isEntryWanted());
    leasedRecord_->recordsListed(records);
    discover(records);
}

void RecordSource::recordsChanged(const control::records::RecordChanges &changes)
{
    plane_->storeUpdateReceived(holder_->applyChanges(changes));
    for (const StoreRecord &record : changes.changes)
        leasedRecord_->recordChanged(record);
    discover(changes.changes);
}

void RecordSource::discover(const std::vector<StoreRecord> &records)
{
    std::vector<core::identity::NetworkAddress> addresses;
    for (const StoreRecord &record : records) {
        if (record.isRemoved || !record.key.starts_with(control::records::nodeRecordPrefix))
            continue;
        if (const auto address = control::records::readNodeRecord(record.text))
            addresses.push_back(*address);
    }
    plane_->peersDiscovered(addresses);
}

void RecordSource::storeUnavailable(const absl::Status &error)
{
    plane_->storeFollowingChanged(false);
    core::events::logEvent(EventCode::StoreUnavailable, "platform unavailable",
                           {{"error", std::string(error.message())}});
}

void RecordSource::storeRecovered()
{
    plane_->storeFollowingChanged(true);
    core::events::logEvent(EventCode::StoreRecovered, "platform answers again");
}

//==============================================================================
void RecordSource::record(const MoveRecord &record)
{
    const auto &moves = plane_->snapshot()->document().moves;
    const auto move = std::find_if(moves.begin(), moves.end(), [&](const auto &candidate) {
        return candidate.id == record.moveId;
    });
    if (isRecording_ || move == moves.end())
        return;
    isRecording_ = true;
    dependencies_.store.commit(dependencies_.moveWriter->writesFor(*move, record, holder_->table()),
                               recordTimeout,
                               [this, record](const absl::StatusOr<Revision> &answer) {
                                   recordEnded(record, answer);
                               });
}

void RecordSource::recordEnded(const MoveRecord &record, const absl::StatusOr<Revision> &answer)
{
    isRecording_ = false;
    // A conflict means that another node was first; the watch brings its record.
    if (absl::IsAborted(answer.status()))
        return;
    core::events::logEvent(answer.ok() ? EventCode::MoveRecorded : EventCode::MoveRecordFailed,
                           answer.ok() ? "move recorded" : "move not recorded yet",
                           {{"move", record.moveId},
                            {"state", nameOf(record.state)},
                            {"error", answer.ok() ? "" : std::string(answer.status().message())}});
}

} // namespace boragetrack::daemon::service
