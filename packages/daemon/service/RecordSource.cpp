/** Passes listings and changes of the store to the replica, and the addresses in node records and
    this node's departures to the control plane. */
#include "daemon/service/RecordSource.h"

#include "control/records/DepartureRecord.h"
#include "control/records/NodeRecord.h"
#include "core/events/AgeText.h"
#include "core/events/EventLog.h"

#include <algorithm>

namespace boragetrack::daemon::service {

using control::distribution::ControlPlane;
using control::distribution::RecordReplica;
using control::records::StoreRecord;
using core::events::ageText;
using core::events::EventCode;
using core::identity::Revision;

namespace {

// Time in which a new node learns the members from the peers that the store lists.
constexpr std::chrono::milliseconds memberDiscoveryTime{5000};
// When a whole fleet starts at once, each node would register, and each record would be reported to
// every node. A random delay within this period, after the first watch has begun, lets a few
// registrations suffice for all to find each other.
constexpr std::chrono::milliseconds registrationSpread{1200};
// Updates come every 200 ms; a gap of this length means that the process was paused.
constexpr std::chrono::milliseconds maximumUpdateGap{1000};

} // namespace

std::unique_ptr<control::distribution::IntentReplica> RecordSource::makeReplica()
{
    auto replica
            = std::make_unique<RecordReplica>(dependencies_.makeReader(), dependencies_.observer);
    replica_ = replica.get();
    return replica;
}

void RecordSource::attach(ControlPlane &plane)
{
    plane_ = &plane;
    plane_->storeFollowingChanged(false);
    const control::records::RecordContent &content = *this;
    leasedRecord_.emplace(dependencies_.store, dependencies_.timers,
                          control::records::nodeRecordKey(dependencies_.node), content);
    control::records::StoreFollower::Listener &listener = *this;
    follower_.emplace(dependencies_.store, dependencies_.timers, listener, random_(),
                      dependencies_.probePeriod);
    follower_->start();
    updatedAt_ = dependencies_.timers.now();
}

void RecordSource::resumeIfPaused()
{
    const core::timing::MonotonicTime now = dependencies_.timers.now();
    if (now - updatedAt_ >= maximumUpdateGap)
        follower_->resumeAfterPause();
    updatedAt_ = now;
}

// The records of a new era may have come from the store or from a peer.
void RecordSource::noticeEra()
{
    const Revision held = replica_->table().revision();
    if (held == Revision{} || era_ == held.era())
        return;
    if (era_) {
        core::events::logEvent(EventCode::StoreCameBack, "the store came back from a copy",
                               {{"era", std::to_string(held.era())},
                                {"eraBefore", std::to_string(*era_)},
                                {"held", held.toString()}});
        departures_.keepAgain();
        // The records that this node writes depend on their revisions in the store.
        if (listedEra_ != held.era() && isFollowRequired_)
            follower_->listAgain();
    }
    era_ = held.era();
}

void RecordSource::update()
{
    resumeIfPaused();
    noticeEra();
    const bool mustFollow = plane_->mustFollowStore();
    if (mustFollow != isFollowRequired_)
        logStoreRole(mustFollow);
    isFollowRequired_ = mustFollow;
    follower_->setActive(mustFollow, replica_->table().revision());
    follower_->setProbePeriod(probePeriod());
    plane_->storeFollowingChanged(follower_->isFollowing());
    leasedRecord_->setActive(needsNodeRecord());
    reportContact();
    logProofRegained();
}

void RecordSource::laterRevisionReported()
{
    if (follower_)
        follower_->recordRevision(plane_->storeKnowledge().reported);
}

void RecordSource::storeReadRequested()
{
    if (follower_)
        follower_->readChanges();
}

std::optional<core::timing::MonotonicTime> RecordSource::sharedContact() const
{
    return dependencies_.areProbesShared ? plane_->lastStoreContact() : std::nullopt;
}

std::chrono::milliseconds RecordSource::probePeriod() const
{
    if (!dependencies_.areProbesShared)
        return dependencies_.probePeriod;
    return std::max(dependencies_.probePeriod, plane_->maximumProofAge());
}

void RecordSource::reportContact()
{
    if (const auto contact = follower_->lastContact())
        plane_->storeContacted(*contact);
}

void RecordSource::logStoreRole(bool follows) const
{
    const auto knowledge = plane_->storeKnowledge();
    core::events::logEvent(EventCode::StoreRoleChanged, "store role changed",
                           {{"follows", follows ? "yes" : "no"},
                            {"chosen", plane_->isSelectedFollower() ? "yes" : "no"},
                            {"revision", std::to_string(replica_->table().revision().number())},
                            {"coveredBy", knowledge.coveredBy.value()},
                            {"intentNumber", std::to_string(knowledge.intent.number.number())},
                            {"intentMs", ageText(knowledge.intent.age)}});
}

// Each node record costs store calls, by this node and by the nodes that watch. A new node finds
// all others through the records of a few, so only the selected followers need a record. Until this
// node has had time to discover the members, it registers only if it has found no other node.
bool RecordSource::needsNodeRecord() const
{
    const core::timing::MonotonicTime now = dependencies_.timers.now();
    if (now - listedAt_ >= memberDiscoveryTime)
        return plane_->isSelectedFollower();
    const bool isAlone = plane_->membership().table().records().size() == 1;
    return isOnlyListedNode_ && isAlone && now >= registersAt_;
}

void RecordSource::detach()
{
    follower_.reset();
    leasedRecord_.reset();
    plane_ = nullptr;
    replica_ = nullptr;
}

//==============================================================================
void RecordSource::recordsListed(const std::vector<StoreRecord> &records, Revision revision)
{
    plane_->storeUpdateArrived();
    core::events::logEvent(EventCode::StoreListed, "store listed",
                           {{"revision", std::to_string(revision.number())},
                            {"entries", std::to_string(records.size())}});
    listedEra_ = revision.era();
    plane_->storedDeparturesReceived(control::records::departuresAt(dependencies_.node, records));
    plane_->storeFollowingChanged(true);
    reportContact();
    const std::string localKey = control::records::nodeRecordKey(dependencies_.node);
    isOnlyListedNode_
            = std::none_of(records.begin(), records.end(), [&](const StoreRecord &record) {
                  return record.key.starts_with(control::records::nodeRecordPrefix)
                         && record.key != localKey;
              });
    if (!isOnlyListedNode_)
        plane_->peersExpected();
    plane_->storeUpdateReceived(replica_->applyListing(records, revision),
                                control::records::ChangeOrigin::Listing);
    listedAt_ = dependencies_.timers.now();
    std::uniform_int_distribution<std::int64_t> delay(0, registrationSpread.count());
    registersAt_ = listedAt_ + control::records::StoreFollower::firstWatchDelay
                   + std::chrono::milliseconds(delay(random_));
    leasedRecord_->setActive(needsNodeRecord());
    leasedRecord_->recordsListed(records);
    reportPeers(records);
}

void RecordSource::recordsChanged(const control::records::RecordChanges &changes)
{
    plane_->storeUpdateArrived();
    reportContact();
    plane_->storeUpdateReceived(replica_->applyChanges(changes), changes.origin);
    for (const StoreRecord &record : changes.changes)
        leasedRecord_->recordChanged(record);
    reportPeers(changes.changes);
}

void RecordSource::reportPeers(const std::vector<StoreRecord> &records)
{
    std::vector<core::identity::NetworkAddress> registered;
    std::vector<core::identity::NetworkAddress> known;
    for (const StoreRecord &record : records) {
        if (record.isRemoved || !record.key.starts_with(control::records::nodeRecordPrefix))
            continue;
        const auto node = control::records::readNodeRecord(record.text);
        if (!node)
            continue;
        registered.push_back(node->peerAddress);
        known.insert(known.end(), node->knownNodes.begin(), node->knownNodes.end());
    }
    plane_->peersDiscovered(registered, known);
}

std::string RecordSource::text() const
{
    return control::records::nodeRecordText(
            {dependencies_.peerAddress, plane_->nearestPeers(control::records::maximumKnownNodes)});
}

// The other nodes' addresses are a help that may be out of date; they aren't worth another write.
bool RecordSource::isCurrent(const std::string &stored) const
{
    const auto record = control::records::readNodeRecord(stored);
    return record && record->peerAddress == dependencies_.peerAddress;
}

void RecordSource::storeUnavailable(const absl::Status &error)
{
    plane_->storeFollowingChanged(false);
    const auto knowledge = plane_->storeKnowledge();
    core::events::logEvent(EventCode::StoreUnavailable, "platform unavailable",
                           {{"error", std::string(error.message())},
                            {"held", std::to_string(knowledge.held.number())},
                            {"reported", std::to_string(knowledge.reported.number())},
                            {"contactMs", ageText(knowledge.contactAge)},
                            {"intentNumber", std::to_string(knowledge.intent.number.number())},
                            {"intentMs", ageText(knowledge.intent.age)}});
}

void RecordSource::proofMissing(const absl::Status &reason)
{
    plane_->storeProofMissing();
    if (proofMissingSince_)
        return;
    proofMissingSince_ = dependencies_.timers.now();
    const auto knowledge = plane_->storeKnowledge();
    core::events::logEvent(EventCode::StoreProofMissing, "no proof from the store",
                           {{"error", std::string(reason.message())},
                            {"follows", follower_->isFollowing() ? "yes" : "no"},
                            {"held", std::to_string(knowledge.held.number())},
                            {"reported", std::to_string(knowledge.reported.number())},
                            {"contactMs", ageText(knowledge.contactAge)},
                            {"intentNumber", std::to_string(knowledge.intent.number.number())},
                            {"intentMs", ageText(knowledge.intent.age)}});
}

void RecordSource::logProofRegained()
{
    const auto contact = plane_->lastStoreContact();
    if (!proofMissingSince_ || !contact || *contact <= *proofMissingSince_)
        return;
    const auto duration
            = std::chrono::duration_cast<std::chrono::milliseconds>(*contact - *proofMissingSince_);
    proofMissingSince_.reset();
    core::events::logEvent(EventCode::StoreProofRegained, "proof from the store again",
                           {{"ms", std::to_string(duration.count())},
                            {"held", std::to_string(replica_->table().revision().number())}});
}

void RecordSource::storeRecovered()
{
    plane_->storeFollowingChanged(true);
    core::events::logEvent(EventCode::StoreRecovered, "platform available again");
}

} // namespace boragetrack::daemon::service
