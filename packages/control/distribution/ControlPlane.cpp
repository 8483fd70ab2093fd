/** Runs the timers of the control plane and merges what exchanges carry: member gossip, suspicions,
    verdicts and evidence. Urgent changes are sent to all neighbours within one decision period, as
    far as the rate limit allows. */
#include "control/distribution/ControlPlane.h"

#include "control/membership/MemberSelection.h"

#include <algorithm>
#include <cassert>

namespace boragetrack::control::distribution {

using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::Revision;
using core::timing::MonotonicTime;
using membership::MemberRecord;
using membership::MemberState;

namespace {

// Gossip entries in one periodic exchange; the remaining ones wait for the next exchange.
constexpr std::size_t gossipPerExchange = 6;
constexpr std::size_t gossipPerUrgentExchange = 12;

constexpr std::chrono::milliseconds memberFetchInterval{3000};
// The same after an exchange from a node that is not in the table, which shows that members are
// missing.
constexpr std::chrono::milliseconds unknownMemberFetchInterval{200};

// The rate limit of urgent exchanges and of evidence. Periodic exchanges use about 800 bytes per
// second in addition.
constexpr double urgentBytesPerSecond = 1000;
constexpr double urgentBurstBytes = 64'000;
constexpr double exchangeOverheadBytes = 120;
constexpr double exchangeEntryBytes = 160;

} // namespace

/** Forwards the ticks of one timer subscription to a member function. */
class ControlPlane::Timer : public core::timing::TimerService::Listener
{
public:
    using Handler = void (ControlPlane::*)(MonotonicTime);

    Timer(ControlPlane &owner, Handler handler, std::chrono::milliseconds period)
        : owner_(owner)
        , handler_(handler)
        , subscription_(owner.timers_, *this, period)
    {}

    void timerElapsed(MonotonicTime now) override { (owner_.*handler_)(now); }

private:
    ControlPlane &owner_;
    Handler handler_;
    core::timing::ScopedTimer subscription_;
};

ControlPlane::ControlPlane(Dependencies dependencies, PeerTransport &transport,
                           core::timing::TimerService &timers, Listener &listener)
    : transport_(transport)
    , timers_(timers)
    , listener_(listener)
    , wallClock_(std::move(dependencies.wallClock))
    , random_(dependencies.randomSeed)
    , membership_(dependencies.self, std::move(dependencies.neighbours), *this)
    , peers_(membership_, std::move(dependencies.seeds), random_)
    , introducer_(random_)
    , store_(membership_, timers)
    , storeExchanges_(store_, membership_, timers, *this, dependencies.randomSeed + 1)
    , departures_(dependencies.self.id, dependencies.self.version.generation)
    , propagator_(
              transport, *this, [this] { return peers_.neighbourContacts(); },
              std::move(dependencies.replica))
    , moves_(dependencies.self.id, dependencies.self.version.generation,
             std::move(dependencies.movePolicies), *this)
    , evaluatorGroup_(membership_, moves_)
    , snapshot_(std::make_shared<intent::IntentSnapshot>())
    , exchangeRateLimiter_(urgentBytesPerSecond, urgentBurstBytes)
{}

ControlPlane::~ControlPlane() = default;

void ControlPlane::start()
{
    propagator_.start(timers_.now());
    introducer_.start(timers_.now());
    departures_.start(timers_.now());
    lastDecisionAt_ = timers_.now();
    for (const auto &seed : peers_.seeds())
        sendExchangeTo(PeerContact{{}, seed}, gossipPerExchange);
    activeTimers_.push_back(
            std::make_unique<Timer>(*this, &ControlPlane::exchangeTick, exchangePeriod));
    activeTimers_.push_back(
            std::make_unique<Timer>(*this, &ControlPlane::pollTick, FollowerRole::pollPeriod));
    activeTimers_.push_back(
            std::make_unique<Timer>(*this, &ControlPlane::decisionTick, decisionPeriod));
}

void ControlPlane::leave()
{
    isLeaving_ = true;
    membership_.leave();
    sendUrgentExchanges();
}

//==============================================================================
void ControlPlane::storeValueReceived(const std::string &text)
{
    updateSource_ = ChangeSource{records::ChangeOrigin::Watch, {}};
    propagator_.offerFromStore(text, timers_.now());
    recordHeldRevision();
}

void ControlPlane::storeUpdateReceived(OfferResult result, records::ChangeOrigin origin)
{
    updateSource_ = ChangeSource{origin, {}};
    propagator_.recordDurableUpdate(result, timers_.now());
    recordHeldRevision();
    if (result != OfferResult::Accepted && result != OfferResult::PartlyAccepted)
        return;
    storeExchanges_.announceUpdate();
}

void ControlPlane::peersExpected()
{
    propagator_.awaitPeers(timers_.now());
}

void ControlPlane::storeFollowingChanged(bool isFollowed)
{
    store_.setFollowing(isFollowed);
    propagator_.setStoreReachable(isFollowed && !storeExchanges_.isProofMissing());
}

void ControlPlane::storeProofMissing()
{
    storeExchanges_.proofMissing();
    propagator_.setStoreReachable(false);
    propagator_.tick(timers_.now());
}

void ControlPlane::peersDiscovered(const std::vector<NetworkAddress> &registered,
                                   const std::vector<NetworkAddress> &known)
{
    for (const NetworkAddress &address : registered) {
        if (peers_.addSeed(address))
            sendExchangeTo(PeerContact{{}, address}, gossipPerExchange);
    }
    for (const NetworkAddress &address : known) {
        const bool isOwn = address == membership_.self().peerAddress;
        if (!isOwn && peers_.idAt(address).isEmpty())
            introducer_.nodeFound(address, timers_.now(), PeerIntroducer::recordDelay);
    }
}

std::vector<NetworkAddress> ControlPlane::nearestPeers(std::size_t maximum) const
{
    return peers_.nearestAddresses(maximum);
}

void ControlPlane::upstreamAnnounced(const membership::UpstreamRecord &upstream)
{
    if (membership_.self().upstream == upstream)
        return;
    const bool isNewDeparture
            = upstream.departure && upstream.departure != membership_.self().upstream.departure;
    // A departure binds this node's next process too, so that peers learn of it also from a node
    // that is leaving.
    if (isLeaving_ && !isNewDeparture)
        return;
    membership_.setUpstream(upstream);
    isUrgentExchangeDue_ = true;
    if (isNewDeparture)
        sendOwnRecord();
}

bool ControlPlane::knowsEarlierDepartures() const
{
    const auto &records = membership_.table().records();
    const auto alive = std::count_if(records.begin(), records.end(), [](const auto &entry) {
        return entry.second.state == MemberState::Alive;
    });
    const auto others = static_cast<std::size_t>(std::max<std::ptrdiff_t>(alive - 1, 0));
    return departures_.isComplete(others, timers_.now());
}

//==============================================================================
Exchange ControlPlane::exchangeReceived(const Exchange &request)
{
    const MemberRecord *sender = membership_.table().find(request.sender);
    // A live sender that is recorded as unreachable receives that record and refutes it.
    const bool isUnknown = sender == nullptr;
    const bool isUnreachable = !isUnknown && sender->state != MemberState::Alive;
    const MemberRecord storedRecord = isUnreachable ? *sender : MemberRecord{};
    PeerContact contact{request.sender, request.senderAddress};
    if (contact.address.port == 0)
        contact = peers_.contactOf(request.sender).value_or(contact);
    storeExchanges_.requestReceived(request);
    introducer_.recordContact(contact.address);
    mergeExchange(contact, request);
    propagator_.raiseMinimumRevision(std::max(request.receiverMinimumRevision, request.revision),
                                     timers_.now(), request.sender);
    if (isUnknown)
        fetchMembersFromUnknown(contact);
    if (request.requestsStoreRead)
        listener_.storeReadRequested();
    Exchange response = makeExchange(request.sender, gossipPerExchange);
    if (isUnreachable)
        response.members.push_back(storedRecord);
    return response;
}

void ControlPlane::exchangeResponseReceived(const PeerContact &peer, const Exchange &response)
{
    const PeerContact contact{response.sender, peer.address};
    storeExchanges_.responseReceived(response);
    introducer_.recordContact(contact.address);
    mergeExchange(contact, response);
    propagator_.raiseMinimumRevision(std::max(response.receiverMinimumRevision, response.revision),
                                     timers_.now(), response.sender);
    fetchMembersIfDiffering(contact, response.memberDigest);
}

void ControlPlane::exchangeFailed(const PeerContact &peer)
{
    const NodeId id = peer.id.isEmpty() ? peers_.idAt(peer.address) : peer.id;
    if (id.isEmpty())
        return;
    store_.role().recordFailure(id, timers_.now());
    const MemberRecord *member = membership_.table().find(id);
    // Only the first failure: the introducer's own contacts fail until the node responds.
    if (member != nullptr && member->state == MemberState::Alive)
        peerDisconnected(member->peerAddress);
    membership_.recordContactFailure(id, timers_.now());
}

void ControlPlane::peerDisconnected(const NetworkAddress &address)
{
    introducer_.nodeLost(address, membership_.table().records().size(), timers_.now());
}

Revision ControlPlane::intentReceived(const PeerContact &peer, const IntentTransfer &transfer)
{
    PeerContact source = peer;
    if (source.address.port == 0)
        source = peers_.contactOf(peer.id).value_or(peer);
    const Revision before = propagator_.replica().revision();
    store_.beginUpdate();
    updateSource_ = ChangeSource{records::ChangeOrigin::Peer, source.id};
    propagator_.offerFromPeer(source, transfer, timers_.now());
    recordHeldRevision();
    if (propagator_.replica().revision() > before)
        storeExchanges_.relayUpdate();
    return propagator_.replica().revision();
}

void ControlPlane::pushResponseReceived(Revision peerRevision)
{
    propagator_.recordPushResponse(peerRevision, timers_.now());
}

void ControlPlane::laterIntentSeen(const PeerContact &peer, Revision revision)
{
    if (revision <= propagator_.replica().revision())
        return;
    store_.recordReport(peer.id, revision, std::nullopt);
    listener_.laterRevisionReported();
    propagator_.compareRevisions(peer, revision, timers_.now());
}

void ControlPlane::membersReceived(const std::vector<MemberRecord> &records)
{
    departures_.rememberFrom(records, timers_.now());
    membership_.mergeFetched(records, timers_.now());
}

//==============================================================================
StoreKnowledge ControlPlane::storeKnowledge() const
{
    StoreKnowledge knowledge = store_.knowledge();
    knowledge.intent = inForce();
    return knowledge;
}

IntentInForce ControlPlane::inForce() const
{
    IntentInForce intent{snapshot_->document().number, std::nullopt};
    if (inForceSince_)
        intent.age = std::chrono::duration_cast<std::chrono::milliseconds>(timers_.now()
                                                                           - *inForceSince_);
    return intent;
}

bool ControlPlane::mustWatchIntentKey() const
{
    return !isLeaving_ && membership::isWatcher(membership_.self(), membership_.table());
}

moves::RouteShare ControlPlane::shareOf(const intent::Route &route,
                                        const core::identity::ServiceName &name) const
{
    const intent::ServiceIntent *service = snapshot_->service(name);
    assert(service != nullptr);
    return moves_.shareOf(name, route.name, service->version, wallClock_());
}

std::vector<moves::MoveRecord> ControlPlane::pendingMoveRecords()
{
    auto records = evaluatorGroup_.dueRecords(snapshot_->document(), wallClock_(), timers_.now());
    if (isLeaving_)
        records.clear();
    return records;
}

//==============================================================================
void ControlPlane::intentInForce()
{
    recordHeldRevision();
    resolveSnapshot(propagator_.replica().contentRevision(), propagator_.replica().document());
    inForceSince_ = timers_.now();
    comparison_.recordInForce(snapshot_->document().number);
    listener_.intentInForce();
    listener_.viewChanged();
}

void ControlPlane::resolveSnapshot(Revision revision, const intent::IntentDocument &document)
{
    resolvedAt_ = wallClock_();
    snapshot_ = std::make_shared<intent::IntentSnapshot>(
            revision, document, membership_.self().dataCentre, resolvedAt_);
    moves_.update(snapshot_->document(), resolvedAt_);
}

// Resolves the snapshot again when an exception has expired since the last resolution; expiry does
// not create a new revision.
void ControlPlane::expireExceptions()
{
    const core::timing::WallTime now = wallClock_();
    const auto &exceptions = snapshot_->document().exceptions;
    const bool isAnyExpired
            = std::any_of(exceptions.begin(), exceptions.end(), [&](const auto &exception) {
                  return exception.expiresAt && *exception.expiresAt > resolvedAt_
                         && *exception.expiresAt <= now;
              });
    if (!isAnyExpired)
        return;
    // The replica may already hold a newer intent than the one in force, so the snapshot's own
    // document is used.
    const auto previous = snapshot_;
    resolveSnapshot(previous->revision(), previous->document());
    listener_.viewChanged();
}

void ControlPlane::memberChanged(const MemberRecord *previous, const MemberRecord &record)
{
    if (previous != nullptr && previous->version.generation < record.version.generation)
        departures_.recordRestart(record.id, previous->version.generation, timers_.now());
    if (previous == nullptr)
        memberFound(record);
    const bool isDeparture = record.state != MemberState::Alive
                             || record.upstream.state == membership::UpstreamState::Draining;
    isUrgentExchangeDue_ = isUrgentExchangeDue_ || isDeparture;
    listener_.memberChanged(previous, record);
    listener_.viewChanged();
}

// A member that others have found needs no introduction by a process that has read the store; it is
// in touch with them.
void ControlPlane::memberFound(const MemberRecord &record)
{
    if (!departures_.isStoreRead())
        introducer_.nodeFound(record.peerAddress, timers_.now());
    else if (record.state == MemberState::Alive)
        introducer_.recordContact(record.peerAddress);
}

void ControlPlane::moveStopped(const intent::MoveIntent &move, const std::string &evidence)
{
    listener_.moveStopped(move, evidence);
    listener_.viewChanged();
    // Stays set while the rate limit is exhausted, so that the next decision tick retries.
    isUrgentExchangeDue_ = true;
    sendUrgentExchanges();
}

//==============================================================================
void ControlPlane::exchangeTick(MonotonicTime now)
{
    membership_.tick(now);
    departures_.removeExpired(now);
    if (const auto peer = peers_.nextExchangePeer())
        sendExchangeTo(*peer, gossipPerExchange);
    if (const auto departed = peers_.nextDepartedPeer())
        sendExchangeTo(*departed, gossipPerExchange);
    for (const NodeId &target : membership_.takeProbeTargets()) {
        if (const auto contact = peers_.contactOf(target))
            sendExchangeTo(*contact, 0);
    }
}

void ControlPlane::decisionTick(MonotonicTime now)
{
    lastDecisionAt_ = now;
    propagator_.tick(now);
    storeExchanges_.update();
    expireExceptions();
    if (isUrgentExchangeDue_)
        sendUrgentExchanges();
    sendIntroductions(now);
    if (!moves_.isActive())
        return;
    // Shares depend on the time, so the traffic side needs a new view even without messages.
    moves_.update(snapshot_->document(), wallClock_());
    sendEvidence();
    listener_.viewChanged();
}

void ControlPlane::sendEvidence()
{
    const MonotonicTime now = timers_.now();
    const auto send = [this, now](const EvaluatorGroup::EvidenceBatch &batch) {
        const double cost = exchangeOverheadBytes
                            + exchangeEntryBytes * static_cast<double>(batch.entries.size());
        if (!exchangeRateLimiter_.tryConsume(cost, now))
            return false;
        Exchange exchange = makeExchange(batch.evaluator, 0);
        exchange.evidence = batch.entries;
        transport_.sendExchange(*peers_.contactOf(batch.evaluator), exchange);
        return true;
    };
    evaluatorGroup_.sendEvidence(send, now);
}

void ControlPlane::sendUrgentExchanges()
{
    const auto contacts = peers_.neighbourContacts();
    const double cost
            = static_cast<double>(contacts.size())
              * (exchangeOverheadBytes + exchangeEntryBytes * gossipPerUrgentExchange / 4);
    // When the rate limit is exhausted, the periodic exchanges carry the gossip.
    if (!exchangeRateLimiter_.tryConsume(cost, timers_.now()))
        return;
    isUrgentExchangeDue_ = false;
    for (const PeerContact &contact : contacts)
        sendExchangeTo(contact, gossipPerUrgentExchange);
}

void ControlPlane::sendIntroductions(MonotonicTime now)
{
    if (isLeaving_)
        return;
    for (const NetworkAddress &address : introducer_.takeRound(now))
        sendExchangeTo(PeerContact{peers_.idAt(address), address}, 0);
}

// The acknowledgement of a departure waits for a peer that keeps it, so it is not left to the rate
// limit.
void ControlPlane::sendOwnRecord()
{
    for (const PeerContact &contact : peers_.neighbourContacts()) {
        Exchange exchange = makeExchange(contact.id, 0);
        exchange.members.push_back(membership_.self());
        transport_.sendExchange(contact, exchange);
    }
}

void ControlPlane::sendExchangeTo(const PeerContact &peer, std::size_t maximumGossip)
{
    transport_.sendExchange(peer, makeExchange(peer.id, maximumGossip));
}

void ControlPlane::sendExchange(const NodeId &receiver, ExchangePurpose purpose)
{
    const auto contact = peers_.contactOf(receiver);
    if (!contact)
        return;
    Exchange exchange = makeExchange(receiver, 0);
    exchange.requestsUpdates = purpose == ExchangePurpose::RequestUpdates;
    exchange.requestsStoreRead = purpose == ExchangePurpose::RequestStoreRead;
    transport_.sendExchange(*contact, exchange);
}

void ControlPlane::mergeExchange(const PeerContact &peer, const Exchange &exchange)
{
    const MonotonicTime now = timers_.now();
    Revision &served = servedRevisions_[exchange.sender];
    served = std::max(served, exchange.revision);
    store_.recordReport(exchange.sender, exchange.revision, exchange.revisionAge);
    comparison_.recordReport(exchange.sender, exchange.intentNumber, now);
    if (exchange.revision > propagator_.replica().revision())
        listener_.laterRevisionReported();
    membership_.recordContact(exchange.sender, now);
    peerDigests_[exchange.sender] = exchange.memberDigest;
    departures_.recordPeer(exchange.sender, exchange.receiverDeparture,
                           exchange.receiverKnownSince);
    departures_.rememberFrom(exchange.members, now);
    membership_.mergeRecords(exchange.members, now);
    membership_.mergeSuspicions(exchange.suspicions, now);
    moves_.mergeVerdicts(exchange.verdicts);
    moves_.mergeEvidence(exchange.evidence);
    if (peer.address.port == 0) {
        ++exchangesWithoutAddress_;
        return;
    }
    propagator_.compareRevisions(peer, exchange.revision, now);
    propagator_.compareNumbers(peer, exchange.revision, exchange.intentNumber, now);
}

// Does not count as a regular fetch: the unknown node may have started with this one and know as
// little.
void ControlPlane::fetchMembersFromUnknown(const PeerContact &peer)
{
    const MonotonicTime now = timers_.now();
    if (peer.address.port == 0 || now - lastUnknownMemberFetch_ < unknownMemberFetchInterval)
        return;
    lastUnknownMemberFetch_ = now;
    transport_.fetchMembers(peer, membership_.table().bucketHashes());
}

void ControlPlane::fetchMembersIfDiffering(const PeerContact &peer, std::uint64_t digest)
{
    const MonotonicTime now = timers_.now();
    if (digest == membership_.table().digest())
        return;
    const bool isNew = membership_.table().records().size() == 1;
    if (!isNew && now - lastMemberFetch_ < memberFetchInterval)
        return;
    lastMemberFetch_ = now;
    transport_.fetchMembers(peer, membership_.table().bucketHashes());
}

// A process that was paused may have missed changes of the store since its last timer.
bool ControlPlane::wasPaused() const
{
    return timers_.now() - lastDecisionAt_ > maximumDecisionGap;
}

void ControlPlane::recordHeldRevision()
{
    store_.recordHeld(propagator_.replica().revision(), updateSource_);
}

Exchange ControlPlane::makeExchange(const NodeId &receiver, std::size_t maximumGossip)
{
    Exchange exchange;
    exchange.sender = membership_.self().id;
    exchange.senderAddress = membership_.self().peerAddress;
    exchange.revision = propagator_.replica().revision();
    exchange.revisionAge = store_.changes().age(timers_.now());
    exchange.intentNumber = snapshot_->document().number;
    const auto served = servedRevisions_.find(receiver);
    exchange.receiverMinimumRevision
            = served == servedRevisions_.end() ? Revision{} : served->second;
    exchange.receiverDeparture = departures_.departureAt(receiver);
    if (const MemberRecord *known = membership_.table().find(receiver))
        exchange.receiverKnownSince = departures_.knownSince(receiver, known->version.generation);
    exchange.memberDigest = membership_.table().digest();
    exchange.isFollower = store_.isFollowing() && !wasPaused();
    exchange.storeContactAge = store_.contactAge();
    // If both tables had equal digests at the last exchange and this node's table has not changed
    // since, the peer needs no gossip.
    const auto known = peerDigests_.find(receiver);
    const bool isInSync = known != peerDigests_.end() && known->second == exchange.memberDigest;
    membership_.takeGossip(isInSync ? 0 : maximumGossip, exchange.members, exchange.suspicions);
    const auto disputed = membership_.takeDisputedSuspicions(receiver);
    exchange.suspicions.insert(exchange.suspicions.end(), disputed.begin(), disputed.end());
    exchange.verdicts = moves_.verdicts();
    return exchange;
}

} // namespace boragetrack::control::distribution
