/** Without a durable store, revisions propagate by push and fetch between peers. With one, a node
    fetches from a peer only while the store is unreachable or after a peer has been ahead for
    toleratedLag. */
#include "control/distribution/IntentPropagator.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::Revision;
using core::timing::MonotonicTime;

void IntentPropagator::offerFromStore(const std::string &text, MonotonicTime now)
{
    apply(text, false, now);
}

void IntentPropagator::recordDurableUpdate(OfferResult result, MonotonicTime now)
{
    if (result == OfferResult::Refused || result == OfferResult::PartlyAccepted)
        listener_.intentRefused();
    hasUnservedContent_ = hasUnservedContent_ || result == OfferResult::Accepted
                          || result == OfferResult::PartlyAccepted;
    isMinimumKnown_ = true;
    confirmedRevision_ = std::max(confirmedRevision_, replica_->revision());
    minimumRevision_ = std::min(minimumRevision_, replica_->revision());
    serveIfAllowed(now);
}

void IntentPropagator::offerFromPeer(const PeerContact &peer, const IntentTransfer &transfer,
                                     MonotonicTime now)
{
    if (transfer.target <= replica_->revision()) {
        confirmedRevision_ = std::max(confirmedRevision_, transfer.target);
        serveIfAllowed(now);
        // A native intent of a held revision is the held one; a table of records may have holes.
        if (!followsStore_)
            return;
    }
    const auto text = replica_->unpack(transfer);
    if (text)
        apply(*text, true, now);
    else if (transfer.base != Revision{})
        sendFetch(peer, Revision{});
}

void IntentPropagator::setStoreReachable(bool isReachable)
{
    followsStore_ = true;
    isStoreReachable_ = isReachable;
}

void IntentPropagator::compareWhileFollowingStore(const PeerContact &peer, Revision peerRevision,
                                                  MonotonicTime now)
{
    if (peerRevision <= replica_->revision())
        return;
    if (!later_)
        later_ = LaterRevision{peerRevision, now, {}};
    std::vector<PeerContact> &holders = later_->holders;
    if (peerRevision > later_->revision) {
        later_->revision = peerRevision;
        holders.clear();
    }
    if (peerRevision == later_->revision) {
        std::erase_if(holders,
                      [&](const PeerContact &known) { return known.address == peer.address; });
        if (holders.size() == maximumHolders)
            holders.erase(holders.begin());
        holders.push_back(peer);
    }
    fetchIfLagging(now);
}

void IntentPropagator::fetchIfLagging(MonotonicTime now)
{
    if (!later_)
        return;
    if (later_->revision <= replica_->revision()) {
        later_.reset();
        return;
    }
    if (!isStoreReachable_ || now - later_->since >= toleratedLag)
        fetchFrom(holderToAsk(), later_->revision, now);
}

const PeerContact &IntentPropagator::holderToAsk() const
{
    const std::vector<PeerContact> &holders = later_->holders;
    const auto other = std::find_if(holders.rbegin(), holders.rend(), [&](const PeerContact &peer) {
        return peer.address != lastFetchFrom_;
    });
    const bool isRepeated = later_->revision <= fetchedRevision_;
    return isRepeated && other != holders.rend() ? *other : holders.back();
}

// Several peers may report the same change at the same moment; it is fetched from one of them.
void IntentPropagator::fetchFrom(const PeerContact &peer, Revision target, MonotonicTime now)
{
    if (target <= fetchedRevision_ && now - fetchedAt_ < fetchTimeout)
        return;
    fetchedRevision_ = target;
    fetchedAt_ = now;
    sendFetch(peer, replica_->revision());
}

void IntentPropagator::sendFetch(const PeerContact &peer, Revision have)
{
    ++fetchCount_;
    lastFetchFrom_ = peer.address;
    transport_.fetchIntent(peer, have);
}

void IntentPropagator::compareRevisions(const PeerContact &peer, Revision peerRevision,
                                        MonotonicTime now)
{
    if (followsStore_) {
        compareWhileFollowingStore(peer, peerRevision, now);
        return;
    }
    confirmedRevision_ = std::max(confirmedRevision_, std::min(peerRevision, replica_->revision()));
    if (peerRevision > replica_->revision() && peerRevision > replica_->refusedRevision())
        sendFetch(peer, replica_->revision());
    else if (peerRevision < replica_->revision())
        transport_.pushIntent(peer, replica_->transferSince(peerRevision));
}

void IntentPropagator::compareNumbers(const PeerContact &peer, Revision peerRevision,
                                      core::identity::IntentNumber number, MonotonicTime now)
{
    if (!followsStore_)
        return;
    if (peerRevision != Revision{})
        peersAwaitedUntil_.reset();
    const bool isStarting = servedRevision_ == Revision{};
    const bool isReached = peerRevision <= replica_->revision();
    if (number <= replica_->document().number || (!isReached && !isStarting))
        return;
    if (number > minimumNumber_) {
        minimumNumber_ = number;
        minimumNumberAt_ = now;
    }
    if (numberFetchedAt_ && now - *numberFetchedAt_ < fetchTimeout)
        return;
    numberFetchedAt_ = now;
    sendFetch(peer, Revision{});
}

void IntentPropagator::awaitPeers(MonotonicTime now)
{
    if (servedRevision_ == Revision{})
        peersAwaitedUntil_ = now + peerWait;
}

void IntentPropagator::raiseMinimumRevision(Revision minimum, MonotonicTime now,
                                            const core::identity::NodeId &reporter)
{
    if (minimum > minimumRevision_) {
        minimumRevision_ = minimum;
        minimumRaisedAt_ = now;
        minimumReportedBy_ = reporter;
    }
    isMinimumKnown_ = true;
    serveIfAllowed(now);
}

void IntentPropagator::recordPushResponse(Revision peerRevision, MonotonicTime now)
{
    confirmedRevision_ = std::max(confirmedRevision_, peerRevision);
    serveIfAllowed(now);
}

void IntentPropagator::tick(MonotonicTime now)
{
    fetchIfLagging(now);
    serveIfAllowed(now);
}

void IntentPropagator::apply(const std::string &text, bool isConfirmed, MonotonicTime now)
{
    const Revision previous = replica_->revision();
    const OfferResult result = replica_->offer(text);
    if (result == OfferResult::Refused || result == OfferResult::PartlyAccepted)
        listener_.intentRefused();
    if (result == OfferResult::Refused || result == OfferResult::NotNewer)
        return;
    heldSince_ = now;
    hasUnservedContent_ = hasUnservedContent_ || result != OfferResult::Confirmed;
    if (isConfirmed)
        confirmedRevision_ = std::max(confirmedRevision_, replica_->revision());
    // Nodes that follow the store get updates from it and need no push.
    if (!followsStore_)
        pushToAll(previous);
    serveIfAllowed(now);
}

void IntentPropagator::pushToAll(Revision previous)
{
    const IntentTransfer transfer = replica_->transferSince(previous);
    for (const PeerContact &peer : peers_())
        transport_.pushIntent(peer, transfer);
}

void IntentPropagator::serveIfAllowed(MonotonicTime now)
{
    const bool isNewer = replica_->revision() > servedRevision_;
    const bool isChanged = replica_->revision() == servedRevision_ && hasUnservedContent_;
    if ((!isNewer && !isChanged) || !isServingAllowed(now))
        return;
    servedRevision_ = replica_->revision();
    if (!hasUnservedContent_)
        return;
    hasUnservedContent_ = false;
    listener_.intentInForce();
}

bool IntentPropagator::isServingAllowed(MonotonicTime now) const
{
    if (replica_->revision() < minimumRevision_ && isMinimumBinding(now))
        return false;
    if (isNumberAwaited(now))
        return false;
    if (!isMinimumKnown_ && now - startedAt_ < isolationTimeout)
        return false;
    return confirmedRevision_ >= replica_->revision() || now - heldSince_ >= isolationTimeout;
}

std::optional<IntentWait> IntentPropagator::waitAt(MonotonicTime now) const
{
    if (servedRevision_ != Revision{})
        return std::nullopt;
    IntentWait wait;
    wait.duration = std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt_);
    wait.held = replica_->revision();
    wait.minimum = minimumRevision_;
    wait.minimumReportedBy = minimumReportedBy_;
    wait.fetches = fetchCount_;
    wait.lastFetchFrom = lastFetchFrom_;
    if (wait.held == Revision{})
        wait.reason
                = isMinimumKnown_ ? IntentWaitReason::NothingHeld : IntentWaitReason::NothingHeard;
    else if ((wait.held < minimumRevision_ && isMinimumBinding(now)) || isNumberAwaited(now))
        wait.reason = IntentWaitReason::BelowMinimum;
    else
        wait.reason = IntentWaitReason::NotConfirmed;
    return wait;
}

// Refusing all callers until the store responds would be worse for them than the intent that the
// other nodes serve meanwhile.
bool IntentPropagator::isMinimumBinding(MonotonicTime now) const
{
    if (!followsStore_)
        return true;
    return servedRevision_ == Revision{}
           && now - std::max(heldSince_, minimumRaisedAt_) < minimumWait;
}

bool IntentPropagator::isNumberAwaited(MonotonicTime now) const
{
    if (servedRevision_ != Revision{})
        return false;
    const bool isBelow = replica_->document().number < minimumNumber_;
    return (isBelow && now - minimumNumberAt_ < minimumWait)
           || (peersAwaitedUntil_ && now < *peersAwaitedUntil_);
}

} // namespace boragetrack::control::distribution
