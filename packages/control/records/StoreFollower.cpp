/** Implements StoreFollower. */
#include "control/records/StoreFollower.h"

#include <algorithm>

namespace boragetrack::control::records {

using core::identity::Revision;

namespace {

// All keys: the operators' entries, the moves' states and the nodes' own entries.
constexpr const char *wholeStore = "";
constexpr int longestDoubling = 6;

} // namespace

StoreFollower::StoreFollower(RecordStore &store, core::timing::TimerService &timers,
                             Listener &listener, std::uint64_t randomSeed)
    : store_(store)
    , timers_(timers)
    , listener_(listener)
    , random_(randomSeed)
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

template <typename Answer>
RecordStore::Reply<Answer>
StoreFollower::whileAlive(void (StoreFollower::*handle)(const absl::StatusOr<Answer> &))
{
    return [self = self_, handle](const absl::StatusOr<Answer> &answer) {
        if (*self != nullptr)
            ((*self)->*handle)(answer);
    };
}

//==============================================================================
void StoreFollower::listFrom(const std::string &after)
{
    if (after.empty())
        listed_.clear();
    store_.list(wholeStore, after, answerTime, whileAlive(&StoreFollower::listAnswered));
}

void StoreFollower::listAnswered(const absl::StatusOr<RecordPage> &answer)
{
    if (!answer.ok()) {
        failed(answer.status());
        return;
    }
    if (listed_.empty())
        listingRevision_ = answer->revision;
    listed_.insert(listed_.end(), answer->records.begin(), answer->records.end());
    if (answer->isTruncated && !answer->records.empty()) {
        listFrom(listed_.back().key);
        return;
    }
    isListed_ = true;
    revision_ = listingRevision_;
    answered();
    listener_.recordsListed(listed_, listingRevision_);
    listed_.clear();
    timers_.addListener(*this, firstWatchPause);
}

void StoreFollower::setWanted(bool isWanted, core::identity::Revision known)
{
    revision_ = std::max(revision_, known);
    isWanted_ = isWanted;
    if (!isResting_ || !isWanted)
        return;
    isResting_ = false;
    goOn();
}

void StoreFollower::goOn()
{
    isResting_ = isListed_ && !isWanted_;
    if (isResting_)
        return;
    if (isListed_)
        watch();
    else
        listFrom({});
}

void StoreFollower::watch()
{
    const auto wait = failures_ > 0 ? trialWatchTime : watchTime;
    const std::uint64_t number = ++watchNumber_;
    store_.watch(wholeStore, revision_, wait, wait + answerTime,
                 [self = self_, number](const absl::StatusOr<RecordChanges> &answer) {
                     if (*self != nullptr && (*self)->watchNumber_ == number)
                         (*self)->watchAnswered(answer);
                 });
    store_.probe(probeTime, [self = self_, number](const absl::StatusOr<Revision> &answer) {
        if (*self != nullptr && (*self)->watchNumber_ == number)
            (*self)->probeAnswered(answer);
    });
}

void StoreFollower::probeAnswered(const absl::StatusOr<Revision> &answer)
{
    // A refusal is an answer: the watch gets its own.
    if (answer.ok() || !absl::IsUnknown(answer.status()))
        return;
    ++watchNumber_;
    failed(answer.status());
}

void StoreFollower::watchAnswered(const absl::StatusOr<RecordChanges> &answer)
{
    ++watchNumber_;
    if (absl::IsOutOfRange(answer.status())) {
        isListed_ = false;
        listFrom({});
        return;
    }
    if (!answer.ok()) {
        failed(answer.status());
        return;
    }
    answered();
    revision_ = std::max(revision_, answer->revision);
    if (answer->changes.empty()) {
        goOn();
        return;
    }
    listener_.recordsChanged(*answer);
    timers_.addListener(*this, changePause);
}

//==============================================================================
void StoreFollower::answered()
{
    const bool wasLost = failures_ > 0;
    failures_ = 0;
    if (wasLost)
        listener_.storeRegained();
}

void StoreFollower::failed(const absl::Status &error)
{
    if (failures_++ == 0)
        listener_.storeLost(error);
    timers_.addListener(*this, nextBackoff());
}

std::chrono::milliseconds StoreFollower::nextBackoff()
{
    const int doublings = std::min(failures_ - 1, longestDoubling);
    const auto longest = std::min(longestBackoff, firstBackoff * (1 << doublings));
    // Half fixed, half random, so that nodes do not return to the store as one.
    std::uniform_int_distribution<std::int64_t> spread(longest.count() / 2, longest.count());
    return std::chrono::milliseconds(spread(random_));
}

void StoreFollower::timerElapsed(core::timing::MonotonicTime /*now*/)
{
    timers_.removeListener(*this);
    goOn();
}

} // namespace boragetrack::control::records
