/** At most one probe is pending; the timer runs between a response and the next probe. A pending
    probe is given up by a new number. */
#include "control/records/WatchMonitor.h"

#include <utility>

namespace boragetrack::control::records {

using core::identity::Revision;

WatchMonitor::WatchMonitor(RecordStore &store, core::timing::TimerService &timers,
                           Listener &listener, std::chrono::milliseconds period)
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

void WatchMonitor::start(Revision watched)
{
    stop();
    isRunning_ = true;
    watched_ = watched;
    isBehind_ = false;
    sendProbe();
}

void WatchMonitor::stop()
{
    ++number_;
    isRunning_ = false;
    isPaused_ = false;
    isUnproven_ = false;
    isRefused_ = false;
    timers_.removeListener(*this);
}

void WatchMonitor::pause()
{
    if (!isRunning_ || isPaused_)
        return;
    ++number_;
    isPaused_ = true;
    timers_.removeListener(*this);
}

void WatchMonitor::resume()
{
    if (!isPaused_)
        return;
    isPaused_ = false;
    isUnproven_ = true;
    sendProbe();
}

void WatchMonitor::sendProbe()
{
    store_.probe(probeTimeout, [self = self_, number = number_,
                                sentAt = timers_.now()](const absl::StatusOr<Revision> &response) {
        if (*self != nullptr && (*self)->number_ == number)
            (*self)->handleResponse(response, sentAt);
    });
}

void WatchMonitor::handleResponse(const absl::StatusOr<Revision> &response,
                                  core::timing::MonotonicTime sentAt)
{
    if (absl::IsUnknown(response.status())) {
        reportLost(response.status());
        return;
    }
    isUnproven_ = isUnproven_ && !response.ok();
    const bool wasRefused = std::exchange(isRefused_, !response.ok());
    if (wasRefused && response.ok()) {
        reportLost(absl::UnknownError("the store refused calls while the watch was pending"));
        return;
    }
    if (response.ok() && response.value() <= watched_)
        provenAt_ = sentAt;
    const bool wasBehind = std::exchange(isBehind_, response.ok() && response.value() > watched_);
    if (wasBehind && isBehind_) {
        reportLost(absl::UnknownError("the watch did not deliver a change"));
        return;
    }
    timers_.addListener(*this, period_);
}

void WatchMonitor::reportLost(const absl::Status &reason)
{
    stop();
    listener_.watchLost(reason);
}

void WatchMonitor::timerElapsed(core::timing::MonotonicTime /*now*/)
{
    timers_.removeListener(*this);
    sendProbe();
}

} // namespace boragetrack::control::records
