/** Lists page by page, then keeps one monitored watch open. Responses to a watch that was abandoned
    are recognised by its number and ignored. */
#include "control/records/StoreFollower.h"

#include <algorithm>

namespace boragetrack::control::records {

using core::identity::Revision;

namespace {

// All keys: the operators' records, the states of moves and the node records.
constexpr const char *allKeysPrefix = "";
constexpr int maximumDoublings = 6;

Revision lastRevisionOf(const std::vector<StoreRecord> &records)
{
    Revision last;
    for (const StoreRecord &record : records)
        last = std::max(last, record.revision);
    return last;
}

// Returns the revision up to which a response is complete: its last record, as the store collects
// them in order, or what was known before the call, as it collects them after that. The revision
// that the store names may be that of a change after them.
Revision completeRevision(const std::vector<StoreRecord> &records, Revision named,
                          Revision namedBeforeCall)
{
    return std::min(named, std::max(lastRevisionOf(records), namedBeforeCall));
}

// The same watch would get the same response, so the records are listed page by page instead.
bool mustListAfter(const absl::Status &watchStatus)
{
    return absl::IsOutOfRange(watchStatus) || absl::IsDataLoss(watchStatus);
}

} // namespace

StoreFollower::StoreFollower(RecordStore &store, core::timing::TimerService &timers,
                             Listener &listener, std::uint64_t randomSeed,
                             std::chrono::milliseconds probePeriod)
    : store_(store)
    , timers_(timers)
    , listener_(listener)
    , random_(randomSeed)
    , monitor_(store, timers, *this, probePeriod)
{}

StoreFollower::~StoreFollower()
{
    *self_ = nullptr;
    timers_.removeListener(*this);
}

void StoreFollower::start()
{
    listFrom({});
}

//==============================================================================
void StoreFollower::listFrom(const std::string &after)
{
    if (after.empty()) {
        ++listingNumber_;
        listed_.clear();
        sentAt_ = timers_.now();
        namedBeforeListing_ = namedRevision_;
    }
    store_.list(
            allKeysPrefix, after, responseTimeout,
            [self = self_, number = listingNumber_](const absl::StatusOr<RecordPage> &response) {
                if (*self != nullptr && (*self)->listingNumber_ == number)
                    (*self)->handleListResponse(response);
            });
}

void StoreFollower::handleListResponse(const absl::StatusOr<RecordPage> &response)
{
    if (!response.ok()) {
        handleFailure(response.status());
        return;
    }
    if (listed_.empty()) {
        namedRevision_ = std::max(namedRevision_, response->revision);
        listingRevision_
                = completeRevision(response->records, response->revision, namedBeforeListing_);
    }
    listed_.insert(listed_.end(), response->records.begin(), response->records.end());
    if (response->isTruncated && !response->records.empty()) {
        listFrom(listed_.back().key);
        return;
    }
    isListed_ = true;
    revision_ = std::max(revision_, listingRevision_);
    handleSuccess();
    listener_.recordsListed(listed_, listingRevision_);
    listed_.clear();
    timers_.addListener(*this, firstWatchDelay);
    if (namedRevision_ > revision_)
        readChanges();
}

void StoreFollower::setActive(bool isActive, core::identity::Revision known)
{
    revision_ = std::max(revision_, known);
    isActive_ = isActive;
    if (isActive)
        monitor_.resume();
    else
        monitor_.pause();
    if (!isIdle_ || !isActive)
        return;
    isIdle_ = false;
    // Other nodes covered this one until now, and it may cover others from now on.
    watch(ReadConsistency::Linearizable);
}

void StoreFollower::resumeAfterPause()
{
    if (!isListed_ || isIdle_)
        return;
    isUnconfirmed_ = true;
    timers_.removeListener(*this);
    endWatch();
    resume();
}

void StoreFollower::listAgain()
{
    timers_.removeListener(*this);
    endWatch();
    isListed_ = false;
    isIdle_ = false;
    listFrom({});
}

// Ignores later responses to the watch: they would begin calls beside those that follow it.
void StoreFollower::endWatch()
{
    ++watchNumber_;
    monitor_.stop();
}

void StoreFollower::resume()
{
    isIdle_ = isListed_ && !isActive_;
    if (isIdle_)
        return;
    if (isListed_)
        watch();
    else
        listFrom({});
}

void StoreFollower::watch(ReadConsistency firstProbe)
{
    const bool isProven = failures_ == 0 && !isUnconfirmed_;
    namedBeforeWatch_ = namedRevision_;
    isChecking_ = std::exchange(isCheckDue_, false) && namedRevision_ > revision_;
    const auto wait = isProven && !isChecking_ ? watchDuration : recoveryWatchDuration;
    const std::uint64_t number = ++watchNumber_;
    sentAt_ = timers_.now();
    store_.watch(allKeysPrefix, revision_, wait, wait + responseTimeout,
                 [self = self_, number](const absl::StatusOr<RecordChanges> &response) {
                     if (*self != nullptr && (*self)->watchNumber_ == number)
                         (*self)->handleWatchResponse(response);
                 });
    monitor_.start(revision_, firstProbe);
}

void StoreFollower::readChanges()
{
    if (!isListed_ || std::exchange(isReadPending_, true))
        return;
    store_.watch(allKeysPrefix, revision_, readDuration, responseTimeout,
                 [self = self_, sentAt = timers_.now(),
                  named = namedRevision_](const absl::StatusOr<RecordChanges> &response) {
                     if (*self != nullptr)
                         (*self)->handleReadResponse(response, sentAt, named);
                 });
}

void StoreFollower::handleReadResponse(const absl::StatusOr<RecordChanges> &response,
                                       core::timing::MonotonicTime sentAt, Revision namedBeforeCall)
{
    isReadPending_ = false;
    // A pending watch copes with that itself.
    if (isIdle_ && mustListAfter(response.status())) {
        isIdle_ = false;
        isListed_ = false;
        listFrom({});
    }
    if (!response.ok())
        return;
    readAt_ = sentAt;
    const Revision reached
            = completeRevision(response->changes, response->revision, namedBeforeCall);
    if (response->changes.empty() && reached <= revision_) {
        listener_.storeContacted();
        return;
    }
    revision_ = std::max(revision_, reached);
    monitor_.recordRevision(response->revision);
    listener_.recordsChanged(RecordChanges{response->changes, reached, ChangeOrigin::Read});
}

void StoreFollower::watchLost(const absl::Status &reason)
{
    ++watchNumber_;
    const bool isFirstFailure = failures_ == 0;
    handleFailure(reason);
    // A change may be missing already; only further attempts wait.
    if (!isFirstFailure)
        return;
    timers_.removeListener(*this);
    resume();
}

void StoreFollower::handleWatchResponse(const absl::StatusOr<RecordChanges> &response)
{
    endWatch();
    if (mustListAfter(response.status())) {
        isListed_ = false;
        listFrom({});
        return;
    }
    if (!response.ok()) {
        handleFailure(response.status());
        return;
    }
    handleSuccess();
    const Revision reached
            = completeRevision(response->changes, response->revision, namedBeforeWatch_);
    revision_ = std::max(revision_, reached);
    namedRevision_ = std::max(namedRevision_, response->revision);
    isCheckDue_ = !isChecking_ && namedRevision_ > revision_;
    if (!response->changes.empty())
        listener_.recordsChanged(RecordChanges{response->changes, reached, response->origin});
    if (response->changes.empty() || isCheckDue_)
        resume();
    else
        timers_.addListener(*this, changeBatchDelay);
}

//==============================================================================
void StoreFollower::handleSuccess()
{
    const bool wasUnavailable = failures_ > 0;
    failures_ = 0;
    isUnconfirmed_ = false;
    servedAt_ = sentAt_;
    monitor_.recordContact(timers_.now());
    if (wasUnavailable)
        listener_.storeRecovered();
}

std::optional<core::timing::MonotonicTime> StoreFollower::lastContact() const
{
    return std::max({servedAt_, monitor_.provenAt(), readAt_});
}

void StoreFollower::handleFailure(const absl::Status &error)
{
    if (failures_++ == 0)
        listener_.storeUnavailable(error);
    listener_.proofMissing(error);
    timers_.addListener(*this, nextBackoff());
}

std::chrono::milliseconds StoreFollower::nextBackoff()
{
    const int doublings = std::min(failures_ - 1, maximumDoublings);
    const auto maximum = std::min(maximumBackoff, initialBackoff * (1 << doublings));
    // Half fixed, half random, so that the nodes do not all return to the store at the same moment.
    std::uniform_int_distribution<std::int64_t> jitter(maximum.count() / 2, maximum.count());
    return std::chrono::milliseconds(jitter(random_));
}

void StoreFollower::timerElapsed(core::timing::MonotonicTime /*now*/)
{
    timers_.removeListener(*this);
    resume();
}

} // namespace boragetrack::control::records
