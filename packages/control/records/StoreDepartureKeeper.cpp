/** Grants a lease, then writes the record on the condition that its key does not exist. A conflict
    means that an earlier attempt, whose response was lost, has written it. */
#include "control/records/StoreDepartureKeeper.h"

#include "control/records/DepartureRecord.h"
#include "core/events/EventLog.h"

#include <algorithm>
#include <utility>

namespace boragetrack::control::records {

using core::events::EventCode;
using core::identity::Revision;
using membership::AnnouncementStamp;

namespace {

// Repeated announcements of one departure differ in their sequence numbers only.
bool isSameDeparture(const AnnouncementStamp &a, const AnnouncementStamp &b)
{
    return a.instance == b.instance && a.startedAt == b.startedAt;
}

} // namespace

StoreDepartureKeeper::StoreDepartureKeeper(RecordStore &store, core::timing::TimerService &timers,
                                           core::identity::NodeId node)
    : store_(store)
    , timers_(timers)
    , node_(std::move(node))
{}

StoreDepartureKeeper::~StoreDepartureKeeper()
{
    *self_ = nullptr;
    timers_.removeListener(*this);
}

void StoreDepartureKeeper::keep(const AnnouncementStamp &departure)
{
    if (isKept(departure) || (pending_ && isSameDeparture(*pending_, departure)))
        return;
    pending_ = departure;
    backoff_ = initialBackoff;
    write();
}

void StoreDepartureKeeper::keepAgain()
{
    if (!kept_ || pending_)
        return;
    pending_ = std::exchange(kept_, std::nullopt);
    backoff_ = initialBackoff;
    write();
}

bool StoreDepartureKeeper::isKept(const AnnouncementStamp &departure) const
{
    return kept_ && isSameDeparture(*kept_, departure);
}

void StoreDepartureKeeper::timerElapsed(core::timing::MonotonicTime /*now*/)
{
    write();
}

void StoreDepartureKeeper::write()
{
    timers_.removeListener(*this);
    const std::uint64_t attempt = ++attempt_;
    store_.grantLease(timeToLive, responseTimeout,
                      [self = self_, attempt](const absl::StatusOr<Lease> &response) {
                          if (*self != nullptr)
                              (*self)->handleLeaseGranted(attempt, response);
                      });
}

void StoreDepartureKeeper::handleLeaseGranted(std::uint64_t attempt,
                                              const absl::StatusOr<Lease> &response)
{
    if (attempt != attempt_)
        return;
    if (!response.ok()) {
        handleFailure(response.status());
        return;
    }
    store_.commit({RecordWrite{departureRecordKey(node_, *pending_), departureRecordText(*pending_),
                               Revision{}, *response}},
                  responseTimeout,
                  [self = self_, attempt](const absl::StatusOr<Revision> &committed) {
                      if (*self != nullptr)
                          (*self)->handleCommitted(attempt, committed);
                  });
}

void StoreDepartureKeeper::handleCommitted(std::uint64_t attempt,
                                           const absl::StatusOr<Revision> &response)
{
    if (attempt != attempt_)
        return;
    if (!response.ok() && !absl::IsAborted(response.status())) {
        handleFailure(response.status());
        return;
    }
    kept_ = std::exchange(pending_, std::nullopt);
}

void StoreDepartureKeeper::handleFailure(const absl::Status &error)
{
    core::events::logEvent(
            EventCode::DepartureNotRecorded, "departure not recorded, will be retried",
            {{"instance", pending_->instance}, {"error", std::string(error.message())}});
    timers_.addListener(*this, backoff_);
    backoff_ = std::min(backoff_ * 2, maximumBackoff);
}

} // namespace boragetrack::control::records
