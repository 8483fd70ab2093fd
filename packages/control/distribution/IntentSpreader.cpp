/** Implements IntentSpreader. */
#include "control/distribution/IntentSpreader.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::Revision;
using core::timing::MonotonicTime;

void IntentSpreader::offerFromStore(const std::string &text, MonotonicTime now)
{
    take(text, false, now);
}

void IntentSpreader::newsFromDurableStore(OfferResult result, MonotonicTime now)
{
    if (result == OfferResult::Refused || result == OfferResult::HeldInPart)
        listener_.intentRefused();
    hasNews_ = hasNews_ || result == OfferResult::Held || result == OfferResult::HeldInPart;
    isFloorKnown_ = true;
    confirmed_ = std::max(confirmed_, holder_->revision());
    floor_ = std::min(floor_, holder_->revision());
    serveIfAllowed(now);
}

void IntentSpreader::offerFromPeer(const PeerContact &peer, const IntentTransfer &transfer,
                                   MonotonicTime now)
{
    if (transfer.target <= holder_->revision()) {
        confirmed_ = std::max(confirmed_, transfer.target);
        serveIfAllowed(now);
        return;
    }
    const auto text = holder_->unpack(transfer);
    if (text)
        take(*text, true, now);
    else if (transfer.base != Revision{})
        transport_.fetchIntent(peer, Revision{});
}

void IntentSpreader::followStore(bool isReachable)
{
    followsStore_ = true;
    isStoreReachable_ = isReachable;
}

void IntentSpreader::compareBesidesStore(const PeerContact &peer, Revision peerRevision,
                                         MonotonicTime now)
{
    if (peerRevision <= holder_->revision())
        return;
    if (!lead_)
        lead_ = Lead{peer, peerRevision, now};
    lead_->peer = peer;
    lead_->revision = std::max(lead_->revision, peerRevision);
    fetchIfLagging(now);
}

void IntentSpreader::fetchIfLagging(MonotonicTime now)
{
    if (!lead_)
        return;
    if (lead_->revision <= holder_->revision()) {
        lead_.reset();
        return;
    }
    if (!isStoreReachable_ || now - lead_->since >= toleratedLag)
        fetchFrom(lead_->peer, lead_->revision, now);
}

// Several peers may tell of one change at the same moment; it is fetched from one of them.
void IntentSpreader::fetchFrom(const PeerContact &peer, Revision target, MonotonicTime now)
{
    if (target <= fetched_ && now - fetchedAt_ < fetchPatience)
        return;
    fetched_ = target;
    fetchedAt_ = now;
    transport_.fetchIntent(peer, holder_->revision());
}

void IntentSpreader::compareWith(const PeerContact &peer, Revision peerRevision, MonotonicTime now)
{
    if (followsStore_) {
        compareBesidesStore(peer, peerRevision, now);
        return;
    }
    confirmed_ = std::max(confirmed_, std::min(peerRevision, holder_->revision()));
    if (peerRevision > holder_->revision() && peerRevision > holder_->refusedRevision())
        transport_.fetchIntent(peer, holder_->revision());
    else if (peerRevision < holder_->revision())
        transport_.pushIntent(peer, holder_->transferSince(peerRevision));
}

void IntentSpreader::learnFloor(Revision floor, MonotonicTime now)
{
    floor_ = std::max(floor_, floor);
    isFloorKnown_ = true;
    serveIfAllowed(now);
}

void IntentSpreader::pushAnswered(Revision peerRevision, MonotonicTime now)
{
    confirmed_ = std::max(confirmed_, peerRevision);
    serveIfAllowed(now);
}

void IntentSpreader::tick(MonotonicTime now)
{
    fetchIfLagging(now);
    serveIfAllowed(now);
}

void IntentSpreader::take(const std::string &text, bool isConfirmed, MonotonicTime now)
{
    const Revision previous = holder_->revision();
    const OfferResult result = holder_->offer(text);
    if (result == OfferResult::Refused || result == OfferResult::HeldInPart)
        listener_.intentRefused();
    if (result == OfferResult::Refused || result == OfferResult::NotNewer)
        return;
    heldSince_ = now;
    hasNews_ = hasNews_ || result != OfferResult::Confirmed;
    if (isConfirmed)
        confirmed_ = std::max(confirmed_, holder_->revision());
    // Nodes that follow the store get their news from it.
    if (!followsStore_)
        pushToAll(previous);
    serveIfAllowed(now);
}

void IntentSpreader::pushToAll(Revision previous)
{
    const IntentTransfer transfer = holder_->transferSince(previous);
    for (const PeerContact &peer : peers_())
        transport_.pushIntent(peer, transfer);
}

void IntentSpreader::serveIfAllowed(MonotonicTime now)
{
    if (holder_->revision() <= served_ || !isAllowed(now))
        return;
    served_ = holder_->revision();
    if (!hasNews_)
        return;
    hasNews_ = false;
    listener_.intentInForce();
}

bool IntentSpreader::isAllowed(MonotonicTime now) const
{
    if (holder_->revision() < floor_)
        return false;
    if (!isFloorKnown_ && now - startedAt_ < aloneTime)
        return false;
    return confirmed_ >= holder_->revision() || now - heldSince_ >= aloneTime;
}

} // namespace boragetrack::control::distribution
