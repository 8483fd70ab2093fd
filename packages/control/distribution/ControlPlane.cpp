/** Implements ControlPlane. */
#include "control/distribution/ControlPlane.h"

#include "control/membership/WatcherElection.h"

#include <algorithm>
#include <cassert>

namespace boragetrack::control::distribution {

using core::identity::NodeId;
using core::identity::Revision;
using core::timing::MonotonicTime;
using membership::MemberRecord;
using membership::MemberState;

namespace {

// News in one periodic exchange; the rest waits for the next one.
constexpr std::size_t newsPerExchange = 6;
constexpr std::size_t newsPerUrgentExchange = 12;

constexpr std::chrono::milliseconds memberFetchInterval{3000};

// The budget of urgent exchanges; periodic ones spend some 800 bytes a second besides.
constexpr double urgentBytesPerSecond = 1000;
constexpr double urgentBurstBytes = 64'000;
constexpr double exchangeBytes = 120;
constexpr double newsBytes = 160;

} // namespace

/** Forwards the ticks of one subscription to a member function. */
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

ControlPlane::ControlPlane(Parts parts, PeerTransport &transport,
                           core::timing::TimerService &timers, Listener &listener)
    : transport_(transport)
    , timers_(timers)
    , listener_(listener)
    , wallClock_(std::move(parts.wallClock))
    , random_(parts.randomSeed)
    , membership_(parts.self, std::move(parts.neighbours), *this)
    , peers_(membership_, std::move(parts.seeds), random_)
    , role_(membership_)
    , spreader_(
              transport, *this, [this] { return peers_.neighbourContacts(); },
              std::move(parts.holder))
    , moves_(parts.self.id, parts.self.version.generation, std::move(parts.movePolicies), *this)
    , jury_(membership_, moves_)
    , snapshot_(std::make_shared<intent::IntentSnapshot>())
    , pacer_(urgentBytesPerSecond, urgentBurstBytes)
{}

ControlPlane::~ControlPlane() = default;

void ControlPlane::start()
{
    spreader_.start(timers_.now());
    for (const auto &seed : peers_.seeds())
        sendExchangeTo(PeerContact{{}, seed}, newsPerExchange);
    timerParts_.push_back(
            std::make_unique<Timer>(*this, &ControlPlane::exchangeTick, exchangePeriod));
    timerParts_.push_back(
            std::make_unique<Timer>(*this, &ControlPlane::askTick, FollowerRole::askPeriod));
    timerParts_.push_back(
            std::make_unique<Timer>(*this, &ControlPlane::decisionTick, decisionPeriod));
}

void ControlPlane::leave()
{
    isLeaving_ = true;
    membership_.leave();
    sendNewsToNeighbours();
}

//==============================================================================
void ControlPlane::storeValueReceived(const std::string &text)
{
    spreader_.offerFromStore(text, timers_.now());
}

void ControlPlane::storeNewsTaken(OfferResult result)
{
    spreader_.newsFromDurableStore(result, timers_.now());
    if (result != OfferResult::Held && result != OfferResult::HeldInPart)
        return;
    for (const NodeId &node : role_.receiversOfNews(timers_.now())) {
        if (const auto contact = peers_.contactOf(node))
            sendExchangeTo(*contact, 0);
    }
}

void ControlPlane::storeFollowed(bool isFollowed)
{
    hasDurableStore_ = true;
    isFollower_ = isFollowed;
    spreader_.followStore(isFollowed);
}

void ControlPlane::peersDiscovered(const std::vector<core::identity::NetworkAddress> &addresses)
{
    for (const auto &address : addresses) {
        if (peers_.addSeed(address))
            sendExchangeTo(PeerContact{{}, address}, newsPerExchange);
    }
}

void ControlPlane::upstreamAnnounced(const membership::UpstreamRecord &upstream)
{
    if (isLeaving_ || membership_.self().upstream == upstream)
        return;
    membership_.setUpstream(upstream);
    hasUrgentNews_ = true;
}

//==============================================================================
Exchange ControlPlane::exchangeReceived(const Exchange &request)
{
    const MemberRecord *sender = membership_.table().find(request.sender);
    // A sender that is taken for unreachable learns of it here and refutes it.
    const bool isDisbelieved = sender != nullptr && sender->state != MemberState::Alive;
    const MemberRecord belief = isDisbelieved ? *sender : MemberRecord{};
    const auto contact = peers_.contactOf(request.sender);
    if (request.asksForNews)
        role_.askedBy(request.sender, timers_.now());
    learnFrom(contact.value_or(PeerContact{request.sender, {}}), request);
    Exchange answer = makeExchange(request.sender, newsPerExchange);
    if (isDisbelieved)
        answer.members.push_back(belief);
    return answer;
}

void ControlPlane::exchangeAnswered(const PeerContact &peer, const Exchange &answer)
{
    const PeerContact contact{answer.sender, peer.address};
    // A node that lags is covered once it has caught up.
    if (answer.isFollower && answer.revision <= spreader_.holder().revision())
        role_.covered(timers_.now());
    learnFrom(contact, answer);
    spreader_.learnFloor(std::max(answer.receiverFloor, answer.revision), timers_.now());
    fetchMembersIfDiffering(contact, answer.memberDigest);
}

void ControlPlane::exchangeFailed(const PeerContact &peer)
{
    const NodeId id = peer.id.isEmpty() ? peers_.idAt(peer.address) : peer.id;
    if (!id.isEmpty())
        membership_.memberFailed(id, timers_.now());
}

Revision ControlPlane::intentReceived(const PeerContact &peer, const IntentTransfer &transfer)
{
    PeerContact source = peer;
    if (source.address.port == 0)
        source = peers_.contactOf(peer.id).value_or(peer);
    spreader_.offerFromPeer(source, transfer, timers_.now());
    return spreader_.holder().revision();
}

void ControlPlane::pushAnswered(Revision peerRevision)
{
    spreader_.pushAnswered(peerRevision, timers_.now());
}

void ControlPlane::membersReceived(const std::vector<MemberRecord> &records)
{
    membership_.mergeFetched(records, timers_.now());
}

//==============================================================================
bool ControlPlane::isWatcher() const
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

std::vector<moves::MoveRecord> ControlPlane::missingMoveRecords()
{
    auto records = jury_.recordsDue(snapshot_->document(), wallClock_(), timers_.now());
    if (isLeaving_)
        records.clear();
    return records;
}

//==============================================================================
void ControlPlane::intentInForce()
{
    resolveSnapshot(spreader_.holder().contentRevision(), spreader_.holder().document());
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

// An exception that expired since the last resolution loses its effect without a new revision.
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
    // The held intent may be newer than the one in force, so the latter is resolved again.
    const auto former = snapshot_;
    resolveSnapshot(former->revision(), former->document());
    listener_.viewChanged();
}

void ControlPlane::memberChanged(const MemberRecord *previous, const MemberRecord &record)
{
    const bool isDeparture = record.state != MemberState::Alive
                             || record.upstream.state == membership::UpstreamState::Draining;
    hasUrgentNews_ = hasUrgentNews_ || isDeparture;
    listener_.memberChanged(previous, record);
    listener_.viewChanged();
}

void ControlPlane::moveStopped(const intent::MoveIntent &move, const std::string &evidence)
{
    listener_.moveStopped(move, evidence);
    listener_.viewChanged();
    // Stays set, and is tried again, while there is no budget.
    hasUrgentNews_ = true;
    sendNewsToNeighbours();
}

//==============================================================================
void ControlPlane::exchangeTick(MonotonicTime now)
{
    membership_.tick(now);
    if (const auto peer = peers_.nextExchangePeer())
        sendExchangeTo(*peer, newsPerExchange);
    if (const auto gone = peers_.nextGonePeer())
        sendExchangeTo(*gone, newsPerExchange);
    for (const NodeId &target : membership_.takeConfirmationTargets()) {
        if (const auto contact = peers_.contactOf(target))
            sendExchangeTo(*contact, 0);
    }
}

void ControlPlane::askTick(MonotonicTime /*now*/)
{
    if (!hasDurableStore_)
        return;
    const auto follower = role_.nextToAsk();
    const auto contact = follower ? peers_.contactOf(*follower) : std::nullopt;
    if (!contact)
        return;
    Exchange exchange = makeExchange(*follower, 0);
    exchange.asksForNews = true;
    transport_.sendExchange(*contact, exchange);
}

void ControlPlane::decisionTick(MonotonicTime now)
{
    spreader_.tick(now);
    expireExceptions();
    if (hasUrgentNews_)
        sendNewsToNeighbours();
    if (!moves_.isActive())
        return;
    // Shares follow the clock, so traffic needs a new view even without news.
    moves_.update(snapshot_->document(), wallClock_());
    sendEvidence();
    listener_.viewChanged();
}

void ControlPlane::sendEvidence()
{
    const MonotonicTime now = timers_.now();
    const auto send = [this, now](const MoveJury::Parcel &parcel) {
        const double cost = exchangeBytes + newsBytes * static_cast<double>(parcel.entries.size());
        if (!pacer_.take(cost, now))
            return false;
        Exchange exchange = makeExchange(parcel.judge, 0);
        exchange.evidence = parcel.entries;
        transport_.sendExchange(*peers_.contactOf(parcel.judge), exchange);
        return true;
    };
    jury_.sendEvidence(send, now);
}

void ControlPlane::sendNewsToNeighbours()
{
    const auto contacts = peers_.neighbourContacts();
    const double cost = static_cast<double>(contacts.size())
                        * (exchangeBytes + newsBytes * newsPerUrgentExchange / 4);
    // Without budget the news goes by the periodic exchanges.
    if (!pacer_.take(cost, timers_.now()))
        return;
    hasUrgentNews_ = false;
    for (const PeerContact &contact : contacts)
        sendExchangeTo(contact, newsPerUrgentExchange);
}

void ControlPlane::sendExchangeTo(const PeerContact &peer, std::size_t maximumNews)
{
    transport_.sendExchange(peer, makeExchange(peer.id, maximumNews));
}

void ControlPlane::learnFrom(const PeerContact &peer, const Exchange &exchange)
{
    const MonotonicTime now = timers_.now();
    Revision &floor = floors_[exchange.sender];
    floor = std::max(floor, exchange.revision);
    membership_.memberHeard(exchange.sender, now);
    peerDigests_[exchange.sender] = exchange.memberDigest;
    membership_.mergeRecords(exchange.members, now);
    membership_.mergeSuspicions(exchange.suspicions, now);
    moves_.mergeVerdicts(exchange.verdicts);
    moves_.mergeEvidence(exchange.evidence);
    if (peer.address.port != 0)
        spreader_.compareWith(peer, exchange.revision, now);
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

Exchange ControlPlane::makeExchange(const NodeId &receiver, std::size_t maximumNews)
{
    Exchange exchange;
    exchange.sender = membership_.self().id;
    exchange.revision = spreader_.holder().revision();
    const auto floor = floors_.find(receiver);
    exchange.receiverFloor = floor == floors_.end() ? Revision{} : floor->second;
    exchange.memberDigest = membership_.table().digest();
    exchange.isFollower = isFollower_;
    // A peer whose table was the same at the last exchange needs no news, unless this node's
    // changed since.
    const auto known = peerDigests_.find(receiver);
    const bool isAlike = known != peerDigests_.end() && known->second == exchange.memberDigest;
    membership_.takeNews(isAlike ? 0 : maximumNews, exchange.members, exchange.suspicions);
    const auto doubted = membership_.takeSuspicionsFor(receiver);
    exchange.suspicions.insert(exchange.suspicions.end(), doubted.begin(), doubted.end());
    exchange.verdicts = moves_.verdicts();
    return exchange;
}

} // namespace boragetrack::control::distribution
