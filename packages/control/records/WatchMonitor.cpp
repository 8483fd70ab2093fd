/** At most one probe is pending, and one timer serves the next probe and the delivery of a known
    change. A pending probe is given up by a new number. */
#include "control/records/WatchMonitor.h"

#include <algorithm>
#include <utility>

namespace boragetrack::control::records {

using core::identity::Revision;
using core::timing::MonotonicTime;
using std::chrono::milliseconds;

WatchMonitor::WatchMonitor(RecordStore &store, core::timing::TimerService &timers,
                           Listener &listener, milliseconds period)
    : store_(store)
    , timers_(timers)
    , listener_(listener)
    , period_(period)
{}

WatchMonitor::~WatchMonitor()
{
    *self_ = nullptr;
    timers_.removeListener(*this);
}

void WatchMonitor::start(Revision watched, ReadConsistency consistency)
{
    stop();
    isRunning_ = true;
    watched_ = watched;
    isUnproven_ = consistency == ReadConsistency::Linearizable;
    if (!isUnproven_ && timers_.now() < nextProbeAt()) {
        scheduleTimer();
        return;
    }
    isFirstProbePending_ = true;
    sendProbe(consistency);
}

void WatchMonitor::stop()
{
    ++number_;
    isRunning_ = false;
    isPaused_ = false;
    isUnproven_ = false;
    isRefused_ = false;
    isProbePending_ = false;
    isFirstProbePending_ = false;
    deliveryDueAt_.reset();
    promptDeliveryDueAt_.reset();
    overdueAt_.reset();
    timers_.removeListener(*this);
}

void WatchMonitor::pause()
{
    if (!isRunning_ || isPaused_)
        return;
    ++number_;
    isPaused_ = true;
    isProbePending_ = false;
    deliveryDueAt_.reset();
    promptDeliveryDueAt_.reset();
    overdueAt_.reset();
    timers_.removeListener(*this);
}

void WatchMonitor::resume()
{
    if (!isPaused_)
        return;
    isPaused_ = false;
    isUnproven_ = true;
    sendProbe(ReadConsistency::Linearizable);
}

//==============================================================================
void WatchMonitor::setPeriod(milliseconds period)
{
    if (period == period_)
        return;
    period_ = period;
    scheduleTimer();
}

void WatchMonitor::recordContact(MonotonicTime at)
{
    if (at <= contactAt_)
        return;
    contactAt_ = at;
    scheduleTimer();
}

void WatchMonitor::recordRevision(Revision reported)
{
    if (isRunning_ && !isPaused_ && reported > watched_)
        expectDelivery(deliveryTime);
}

void WatchMonitor::expectDelivery(milliseconds delay)
{
    const MonotonicTime dueAt = timers_.now() + delay;
    if (!deliveryDueAt_)
        promptDeliveryDueAt_ = timers_.now() + promptDeliveryTime;
    deliveryDueAt_ = std::min(deliveryDueAt_.value_or(dueAt), dueAt);
    scheduleTimer();
}

//==============================================================================
void WatchMonitor::sendProbe(ReadConsistency consistency)
{
    isProbePending_ = true;
    overdueAt_ = timers_.now() + overdueTime;
    scheduleTimer();
    store_.probe(consistency, probeTimeout,
                 [self = self_, number = number_, consistency,
                  sentAt = timers_.now()](const absl::StatusOr<Revision> &response) {
                     if (*self != nullptr && (*self)->number_ == number)
                         (*self)->handleResponse(response, consistency, sentAt);
                 });
}

void WatchMonitor::handleResponse(const absl::StatusOr<Revision> &response,
                                  ReadConsistency consistency, MonotonicTime sentAt)
{
    isProbePending_ = false;
    overdueAt_.reset();
    // A slow store may take as long to respond to a watch that has just begun.
    if (std::exchange(isFirstProbePending_, false) && deliveryDueAt_) {
        deliveryDueAt_ = timers_.now() + deliveryTime;
        promptDeliveryDueAt_ = timers_.now() + promptDeliveryTime;
    }
    if (absl::IsUnknown(response.status())) {
        reportLost(response.status());
        return;
    }
    if (!response.ok())
        listener_.proofMissing(response.status());
    // The limit of calls concerns all nodes together and ends no watch.
    const bool isLimited = absl::IsResourceExhausted(response.status());
    const bool wasRefused = std::exchange(isRefused_, !response.ok() && !isLimited);
    refusedAt_ = isRefused_ ? timers_.now() : refusedAt_;
    if (wasRefused && response.ok()) {
        reportLost(absl::UnknownError("the store refused calls while the watch was pending"));
        return;
    }
    const bool isCurrent = response.ok() && response.value() <= watched_;
    const bool isProof = isCurrent && consistency == ReadConsistency::Linearizable;
    isUnproven_ = isUnproven_ && !isProof;
    if (response.ok() && !isCurrent)
        expectDelivery(probedDeliveryTime);
    if (consistency == ReadConsistency::Linearizable || !response.ok())
        contactAt_ = std::max(contactAt_, sentAt);
    scheduleTimer();
    if (isProof) {
        provenAt_ = sentAt;
        listener_.watchProven();
    }
}

void WatchMonitor::reportLost(const absl::Status &reason)
{
    stop();
    listener_.watchLost(reason);
}

MonotonicTime WatchMonitor::nextProbeAt() const
{
    return contactAt_ + period_;
}

void WatchMonitor::scheduleTimer()
{
    timers_.removeListener(*this);
    if (!isRunning_ || isPaused_)
        return;
    MonotonicTime due = isProbePending_ ? MonotonicTime::max() : nextProbeAt();
    if (overdueAt_)
        due = std::min(due, *overdueAt_);
    if (deliveryDueAt_ && !isFirstProbePending_)
        due = std::min({due, *deliveryDueAt_, promptDeliveryDueAt_.value_or(due)});
    if (due == MonotonicTime::max())
        return;
    const auto delay = std::chrono::ceil<milliseconds>(due - timers_.now());
    timers_.addListener(*this, std::max(delay, milliseconds(1)));
}

void WatchMonitor::timerElapsed(MonotonicTime now)
{
    timers_.removeListener(*this);
    if (deliveryDueAt_ && !isFirstProbePending_ && now >= *deliveryDueAt_) {
        // A read before the next watch can have delivered the change would show nothing new.
        contactAt_ = std::max(contactAt_, now);
        reportLost(absl::UnknownError("the watch did not deliver a change"));
        return;
    }
    if (promptDeliveryDueAt_ && !isFirstProbePending_ && now >= *promptDeliveryDueAt_) {
        promptDeliveryDueAt_.reset();
        listener_.proofMissing(absl::UnknownError("the watch has not delivered a change yet"));
    }
    if (overdueAt_ && now >= *overdueAt_) {
        overdueAt_.reset();
        listener_.proofMissing(absl::UnknownError("no response yet"));
    }
    const auto contact = listener_.sharedContact();
    if (isRefused_ && contact && *contact > refusedAt_) {
        reportLost(absl::UnavailableError("the store refuses this node and serves others"));
        return;
    }
    if (contact)
        contactAt_ = std::max(contactAt_, *contact);
    if (!isProbePending_ && now >= nextProbeAt())
        sendProbe(isRefused_ ? ReadConsistency::MayBeStale : ReadConsistency::Linearizable);
    else
        scheduleTimer();
}

} // namespace boragetrack::control::records
