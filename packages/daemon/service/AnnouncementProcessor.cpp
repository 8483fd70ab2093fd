/** The filter decides which announcements are current. Departures take effect at once, and are
    acknowledged once they are kept; an upstream in service waits until the earlier departures are
    known. */
#include "daemon/service/AnnouncementProcessor.h"

#include "core/events/EventLog.h"

#include <utility>

namespace boragetrack::daemon::service {

using control::membership::AnnouncementStamp;
using control::membership::UpstreamRecord;
using control::membership::UpstreamState;
using core::events::EventCode;
using core::timing::MonotonicTime;
using transport::serving::AnnouncementOutcome;
using transport::serving::UpstreamAnnouncement;
using transport::serving::UpstreamStatus;

namespace {

bool isDeparture(const UpstreamAnnouncement &announcement)
{
    return announcement.isDeparture || announcement.status.record.state == UpstreamState::Draining;
}

void logUpstream(const UpstreamStatus &status)
{
    const bool isDraining = status.record.state == UpstreamState::Draining;
    core::events::logEvent(isDraining ? EventCode::UpstreamDraining : EventCode::UpstreamAnnounced,
                           isDraining ? "upstream draining" : "upstream announced",
                           {{"service", status.record.service.value()},
                            {"version", status.record.version.value()},
                            {"instance", status.instance},
                            {"coldMs", std::to_string(status.coldLeft.count())},
                            {"address", status.address.toString()}});
}

} // namespace

void AnnouncementProcessor::start(control::distribution::ControlPlane &plane,
                                  control::membership::DepartureKeeper &keeper, UpstreamSink sink)
{
    plane_ = &plane;
    keeper_ = &keeper;
    sink_ = std::move(sink);
}

void AnnouncementProcessor::announce(const UpstreamStatus &status)
{
    setUpstream(status);
}

void AnnouncementProcessor::announce(const UpstreamAnnouncement &announcement,
                                     OutcomeSink onProcessed)
{
    if (!isDeparture(announcement)) {
        const bool isHeld = !isProven(announcement.stamp);
        if (isHeld)
            hold(announcement);
        else
            apply(announcement);
        onProcessed(isHeld && !isHeldRepeated_ ? AnnouncementOutcome::NotProven
                                               : AnnouncementOutcome::Processed);
        return;
    }
    apply(announcement);
    const auto &departure = filter_.departure();
    if (!departure || departure->instance != announcement.stamp.instance) {
        onProcessed(AnnouncementOutcome::Processed);
        return;
    }
    keeper_->keep(*departure);
    acknowledgements_.push_back(
            {*departure, timers_.now() + maximumKeepingTime, std::move(onProcessed)});
    acknowledgeDepartures();
}

void AnnouncementProcessor::update()
{
    adoptDeparture();
    applyHeldAnnouncement();
    acknowledgeDepartures();
    expireUpstream();
}

// An upstream that started with this process is published with the node's first record, which saves
// a second round of gossip about each node when a fleet starts.
bool AnnouncementProcessor::mayHaveDepartedEarlier(const AnnouncementStamp &stamp) const
{
    return !stamp.startedAt || *stamp.startedAt + startTolerance < startedAt_;
}

bool AnnouncementProcessor::isProven(const AnnouncementStamp &stamp) const
{
    const bool isSameProcess = proven_ && proven_->instance == stamp.instance
                               && proven_->startedAt == stamp.startedAt;
    return isSameProcess || !mayHaveDepartedEarlier(stamp) || plane_->hasReadStoredDepartures();
}

//==============================================================================
void AnnouncementProcessor::apply(const UpstreamAnnouncement &announcement)
{
    if (!filter_.accept(announcement.stamp, isDeparture(announcement)))
        return;
    if (announcement.isDeparture) {
        publishDeparture();
        return;
    }
    UpstreamStatus status = announcement.status;
    status.record.departure = filter_.departure();
    setUpstream(status);
}

// The upstream finishes its calls in progress, so only its state changes.
void AnnouncementProcessor::publishDeparture()
{
    if (upstream_) {
        UpstreamStatus status = *upstream_;
        status.record.state = UpstreamState::Draining;
        status.record.departure = filter_.departure();
        setUpstream(status);
        return;
    }
    UpstreamRecord record = plane_->membership().self().upstream;
    record.departure = filter_.departure();
    plane_->upstreamAnnounced(record);
}

void AnnouncementProcessor::setUpstream(const UpstreamStatus &status)
{
    announcedAt_ = timers_.now();
    const bool isChanged = !upstream_ || upstream_->instance != status.instance
                           || upstream_->record != status.record
                           || upstream_->address != status.address;
    // The remaining cold time is passed on with each announcement, because the upstream may have
    // become cold again.
    const bool wasCold = upstream_ && upstream_->coldLeft.count() > 0;
    if (!isChanged && !wasCold && status.coldLeft.count() == 0)
        return;
    if (isChanged)
        logUpstream(status);
    upstream_ = status;
    sink_(upstream_);
    plane_->upstreamAnnounced(status.record);
}

//==============================================================================
void AnnouncementProcessor::adoptDeparture()
{
    const auto &departure = plane_->replicatedDeparture();
    if (!departure || departure == adoptedDeparture_)
        return;
    adoptedDeparture_ = departure;
    if (!filter_.restoreDeparture(*departure))
        return;
    core::events::logEvent(EventCode::DepartureRestored, "departure before the restart restored",
                           {{"instance", departure->instance}});
    publishDeparture();
}

void AnnouncementProcessor::hold(const UpstreamAnnouncement &announcement)
{
    if (held_ && held_->stamp.isLaterThan(announcement.stamp))
        return;
    const AnnouncementStamp &stamp = announcement.stamp;
    isHeldRepeated_ = held_ && held_->stamp.instance == stamp.instance
                      && held_->stamp.startedAt == stamp.startedAt
                      && held_->stamp.sequence < stamp.sequence;
    held_ = announcement;
    if (!isHeldRepeated_)
        core::events::logEvent(
                EventCode::AnnouncementNotProven, "announcement not proven current",
                {{"instance", stamp.instance}, {"sequence", std::to_string(stamp.sequence)}});
}

// While the store doesn't tell which upstreams had departed, a single announcement may be a late
// one, whereas an upstream in service announces itself again after a refusal. Peers, and the time
// in which they would have responded, are waited for because they may know of a departure.
void AnnouncementProcessor::applyHeldAnnouncement()
{
    const bool isTrusted
            = plane_->hasReadStoredDepartures()
              || (isHeldRepeated_
                  && (plane_->knowsEarlierDepartures() || plane_->hasWaitedForDepartures()));
    if (!held_ || !isTrusted)
        return;
    const UpstreamAnnouncement announcement = *std::exchange(held_, std::nullopt);
    isHeldRepeated_ = false;
    proven_ = announcement.stamp;
    apply(announcement);
}

void AnnouncementProcessor::acknowledgeDepartures()
{
    const MonotonicTime now = timers_.now();
    std::erase_if(acknowledgements_, [&](const Acknowledgement &acknowledgement) {
        const bool isKept = keeper_->isKept(acknowledgement.departure);
        if (!isKept && now < acknowledgement.deadline)
            return false;
        if (!isKept)
            core::events::logEvent(EventCode::DepartureNotAcknowledged,
                                   "departure in effect but not acknowledged",
                                   {{"instance", acknowledgement.departure.instance}});
        acknowledgement.onProcessed(isKept ? AnnouncementOutcome::Processed
                                           : AnnouncementOutcome::NotKept);
        return true;
    });
}

void AnnouncementProcessor::expireUpstream()
{
    if (!upstream_ || timers_.now() - announcedAt_ < announcementTimeout_)
        return;
    core::events::logEvent(EventCode::UpstreamLost, "upstream lost",
                           {{"service", upstream_->record.service.value()}});
    UpstreamRecord lost = upstream_->record;
    lost.state = UpstreamState::None;
    upstream_.reset();
    sink_(std::nullopt);
    plane_->upstreamAnnounced(lost);
}

} // namespace boragetrack::daemon::service
