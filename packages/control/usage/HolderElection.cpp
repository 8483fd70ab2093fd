/** An application grants a lease, then writes the record. A write without a response is settled by
    listing the key. */
#include "control/usage/HolderElection.h"

#include <algorithm>
#include <utility>

namespace boragetrack::control::usage {

using core::identity::Revision;
using records::Lease;
using records::RecordPage;
using records::RecordWrite;
using records::StoreRecord;
using std::chrono::nanoseconds;

HolderElection::HolderElection(const Dependencies &dependencies)
    : dependencies_(dependencies)
    , startedAt_(dependencies.clock.now())
{}

HolderElection::~HolderElection()
{
    *self_ = nullptr;
}

template <typename Response, typename Handler>
records::RecordStore::Callback<Response> HolderElection::guardedCallback(Handler handler)
{
    return [self = self_, attempt = attempt_,
            handler = std::move(handler)](const absl::StatusOr<Response> &response) {
        if (*self != nullptr && (*self)->attempt_ == attempt) {
            (*self)->isCallPending_ = false;
            handler(**self, response);
        }
    };
}

void HolderElection::setOrder(std::vector<DutyHolder> order)
{
    order_ = std::move(order);
}

void HolderElection::recordsChanged(const records::RecordTable &records)
{
    const StoreRecord *record = records.find(dependencies_.holderKey);
    holder_ = record == nullptr ? std::nullopt : DutyHolder::fromText(record->text);
    const bool isKnown = records.revision() > Revision{};
    if (record != nullptr || !isKnown)
        vacantSince_.reset();
    else if (!vacantSince_)
        vacantSince_ = dependencies_.clock.now();
    isBootstrap_ = !records.records().contains(dependencies_.holderKey)
                   && !records.records().contains(dependencies_.outcomeKey);
    if (state_ != State::Holding)
        return;
    // Removed records stay in the table with the revision of their removal.
    const auto change = records.records().find(dependencies_.holderKey);
    if (change != records.records().end() && change->second.revision.number() > token_.number())
        lose("the record was removed or replaced");
}

void HolderElection::update()
{
    const nanoseconds now = dependencies_.clock.now();
    switch (state_) {
    case State::Idle:
        if (mayApply())
            apply();
        break;
    case State::Granting:
    case State::Committing:
        break;
    case State::Confirming:
        if (now >= validUntil_)
            abandon(settledAt());
        else if (!isCallPending_ && now >= nextCallAt_)
            confirm();
        break;
    case State::Holding:
        if (now >= validUntil_)
            lose("the lease expired");
        else if (!isCallPending_ && now >= nextCallAt_)
            renew();
        break;
    }
}

void HolderElection::resign(const std::string &reason, std::chrono::milliseconds pause)
{
    const nanoseconds notBefore = dependencies_.clock.now() + pause;
    if (state_ == State::Holding)
        lose(reason);
    applyNotBefore_ = std::max(applyNotBefore_, notBefore);
}

void HolderElection::stop()
{
    isStopped_ = true;
    if (state_ == State::Holding)
        lose("the node stops");
    else
        abandon(nanoseconds::zero());
}

std::optional<FencingToken> HolderElection::token() const
{
    if (state_ != State::Holding || dependencies_.clock.now() >= validUntil_)
        return std::nullopt;
    return token_;
}

nanoseconds HolderElection::sendBefore() const
{
    return std::min<nanoseconds>(validUntil_, dependencies_.clock.now() + sendWindow);
}

bool HolderElection::mayApply() const
{
    const nanoseconds now = dependencies_.clock.now();
    if (isStopped_ || !vacantSince_ || now < applyNotBefore_)
        return false;
    // An earlier process of this node may have held the duty until just before this one started.
    if (!isBootstrap_ && now < startedAt_ + restTime)
        return false;
    const auto self = std::find_if(order_.begin(), order_.end(), [&](const DutyHolder &member) {
        return member.node == dependencies_.self.node;
    });
    const auto place = static_cast<std::size_t>(self - order_.begin());
    return self != order_.end() && place < maximumPlaces
           && now >= *vacantSince_ + delayPerPlace * static_cast<std::int64_t>(place);
}

void HolderElection::apply()
{
    ++attempt_;
    state_ = State::Granting;
    isCallPending_ = true;
    grantSentAt_ = dependencies_.clock.now();
    dependencies_.store.grantLease(
            dependencies_.leaseTime, responseTimeout,
            guardedCallback<Lease>([](HolderElection &election, const auto &response) {
                election.handleLeaseGranted(response);
            }));
}

void HolderElection::handleLeaseGranted(const absl::StatusOr<Lease> &response)
{
    const nanoseconds now = dependencies_.clock.now();
    if (!response.ok()) {
        abandon(now + retryDelay);
        return;
    }
    lease_ = *response;
    grantedAt_ = now;
    validUntil_ = expiryOf(lease_, grantSentAt_);
    if (now >= validUntil_ || !vacantSince_) {
        abandon(now + retryDelay);
        return;
    }
    state_ = State::Committing;
    isCallPending_ = true;
    dependencies_.store.commit(
            {RecordWrite{dependencies_.holderKey, dependencies_.self.toText(), Revision{}, lease_}},
            responseTimeout,
            guardedCallback<Revision>([](HolderElection &election, const auto &committed) {
                election.handleCommitted(committed);
            }));
}

void HolderElection::handleCommitted(const absl::StatusOr<Revision> &response)
{
    const nanoseconds now = dependencies_.clock.now();
    const absl::Status &status = response.status();
    if (response.ok()) {
        gain(FencingToken(response->number()));
    } else if (absl::IsAborted(status)) {
        // The holder that was elected meanwhile keeps its lease for at least this long.
        abandon(now + dependencies_.leaseTime + retryDelay);
    } else if (absl::IsUnavailable(status) || absl::IsResourceExhausted(status)
               || absl::IsNotFound(status)) {
        abandon(now + retryDelay);
    } else {
        state_ = State::Confirming;
        confirm();
    }
}

void HolderElection::confirm()
{
    isCallPending_ = true;
    dependencies_.store.list(
            dependencies_.holderKey, {}, responseTimeout,
            guardedCallback<RecordPage>([](HolderElection &election, const auto &response) {
                election.handleListed(response);
            }));
}

void HolderElection::handleListed(const absl::StatusOr<RecordPage> &response)
{
    if (!response.ok()) {
        nextCallAt_ = dependencies_.clock.now() + retryDelay;
        return;
    }
    for (const StoreRecord &record : response->records) {
        const bool isOwn = record.key == dependencies_.holderKey
                           && record.text == dependencies_.self.toText();
        // An earlier record of this process may be left when its lease was renewed late.
        if (isOwn && record.revision.number() > lastToken_.number()) {
            gain(FencingToken(record.revision.number()));
            return;
        }
    }
    // The write may still be executed, with the lease of this application, until that expires.
    abandon(settledAt());
}

void HolderElection::abandon(nanoseconds retryAt)
{
    ++attempt_;
    state_ = State::Idle;
    isCallPending_ = false;
    applyNotBefore_ = std::max(applyNotBefore_, retryAt);
}

void HolderElection::gain(FencingToken token)
{
    if (dependencies_.clock.now() >= validUntil_) {
        abandon(dependencies_.clock.now() + restTime);
        return;
    }
    state_ = State::Holding;
    token_ = token;
    lastToken_ = token;
    nextCallAt_ = grantSentAt_ + renewalPeriod;
    dependencies_.listener.dutyGained(token_);
}

void HolderElection::lose(const std::string &reason)
{
    // A call that was handed over just now may be sent until the end of its send window.
    abandon(dependencies_.clock.now() + sendWindow + restTime);
    dependencies_.listener.dutyLost(std::exchange(token_, FencingToken{}), reason);
}

void HolderElection::renew()
{
    const nanoseconds now = dependencies_.clock.now();
    nextCallAt_ = now + renewalPeriod;
    isCallPending_ = true;
    dependencies_.store.renewLease(
            lease_, renewalTimeout,
            guardedCallback<Lease>([now](HolderElection &election, const auto &response) {
                election.handleRenewed(now, response);
            }));
}

void HolderElection::handleRenewed(nanoseconds sentAt, const absl::StatusOr<Lease> &response)
{
    if (response.ok()) {
        // A lease that expired meanwhile by this clock stays lost, whatever the store says.
        if (dependencies_.clock.now() >= validUntil_)
            lose("the lease expired");
        else
            validUntil_ = std::max(validUntil_, expiryOf(*response, sentAt));
    } else if (absl::IsNotFound(response.status())) {
        lose("the store has no such lease");
    }
}

nanoseconds HolderElection::settledAt() const
{
    return grantedAt_ + std::max(dependencies_.leaseTime, lease_.timeToLive) + retryDelay;
}

nanoseconds HolderElection::expiryOf(const Lease &lease, nanoseconds sentAt) const
{
    const bool isShorter
            = lease.timeToLive.count() > 0 && lease.timeToLive < dependencies_.leaseTime;
    return sentAt + (isShorter ? lease.timeToLive : dependencies_.leaseTime) - leaseMargin;
}

} // namespace boragetrack::control::usage
