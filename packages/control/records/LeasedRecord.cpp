/** A state machine: present records are renewed by timer, absent ones are written, and failed
    writes are retried after a delay. Changes reported by the watch override its own assumptions. */
#include "control/records/LeasedRecord.h"

#include <algorithm>

namespace boragetrack::control::records {

using core::identity::Revision;

LeasedRecord::LeasedRecord(RecordStore &store, core::timing::TimerService &timers, std::string key,
                           const RecordContent &content)
    : store_(store)
    , timers_(timers)
    , key_(std::move(key))
    , content_(content)
{}

LeasedRecord::~LeasedRecord()
{
    *self_ = nullptr;
    timers_.removeListener(*this);
}

template <typename Response>
RecordStore::Callback<Response>
LeasedRecord::guardedCallback(void (LeasedRecord::*handle)(const absl::StatusOr<Response> &))
{
    return [self = self_, handle](const absl::StatusOr<Response> &response) {
        if (*self != nullptr)
            ((*self)->*handle)(response);
    };
}

void LeasedRecord::recordsListed(const std::vector<StoreRecord> &records)
{
    const auto own = std::find_if(records.begin(), records.end(),
                                  [&](const auto &record) { return record.key == key_; });
    updateState(own == records.end() ? nullptr : &*own);
}

void LeasedRecord::recordChanged(const StoreRecord &record)
{
    if (record.key != key_ || record.revision < revision_)
        return;
    if (record.isRemoved)
        lease_ = Lease{};
    updateState(record.isRemoved ? nullptr : &record);
}

void LeasedRecord::updateState(const StoreRecord *record)
{
    revision_ = record == nullptr ? Revision{} : record->revision;
    if (record != nullptr && content_.isCurrent(record->text))
        markPresent();
    else if (state_ != State::Writing && state_ != State::Retrying)
        markAbsent();
}

void LeasedRecord::setActive(bool isActive)
{
    isActive_ = isActive;
    if (isActive_ && state_ == State::Absent)
        write();
}

void LeasedRecord::markAbsent()
{
    state_ = State::Absent;
    timers_.removeListener(*this);
    if (isActive_)
        write();
}

//==============================================================================
void LeasedRecord::write()
{
    state_ = State::Writing;
    timers_.removeListener(*this);
    if (lease_.id == 0)
        store_.grantLease(timeToLive, responseTimeout,
                          guardedCallback(&LeasedRecord::handleLeaseGranted));
    else
        commit();
}

void LeasedRecord::handleLeaseGranted(const absl::StatusOr<Lease> &response)
{
    if (state_ != State::Writing)
        return;
    if (!response.ok()) {
        scheduleRetry();
        return;
    }
    lease_ = *response;
    commit();
}

void LeasedRecord::commit()
{
    store_.commit({RecordWrite{key_, content_.text(), revision_, lease_}}, responseTimeout,
                  guardedCallback(&LeasedRecord::handleCommitted));
}

void LeasedRecord::handleCommitted(const absl::StatusOr<Revision> &response)
{
    if (state_ != State::Writing)
        return;
    if (response.ok()) {
        revision_ = std::max(revision_, *response);
        markPresent();
        return;
    }
    if (absl::IsNotFound(response.status()))
        lease_ = Lease{};
    // After a lost response or a conflict, the watch reports the current state of the record.
    scheduleRetry();
}

void LeasedRecord::scheduleRetry()
{
    state_ = State::Retrying;
    timers_.addListener(*this, retryDelay);
}

void LeasedRecord::markPresent()
{
    state_ = State::Present;
    if (lease_.id != 0)
        timers_.addListener(*this, renewalPeriod);
    else
        timers_.removeListener(*this);
}

void LeasedRecord::handleLeaseRenewed(const absl::StatusOr<Lease> &response)
{
    if (!absl::IsNotFound(response.status()))
        return;
    lease_ = Lease{};
    markAbsent();
}

void LeasedRecord::timerElapsed(core::timing::MonotonicTime /*now*/)
{
    if (!isActive_)
        markAbsent();
    else if (state_ == State::Present)
        store_.renewLease(lease_, responseTimeout,
                          guardedCallback(&LeasedRecord::handleLeaseRenewed));
    else
        write();
}

} // namespace boragetrack::control::records
