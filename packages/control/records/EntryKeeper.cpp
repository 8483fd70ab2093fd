/** Implements EntryKeeper. */
#include "control/records/EntryKeeper.h"

#include <algorithm>

namespace boragetrack::control::records {

using core::identity::Revision;

EntryKeeper::EntryKeeper(RecordStore &store, core::timing::TimerService &timers, std::string key,
                         std::string text)
    : store_(store)
    , timers_(timers)
    , key_(std::move(key))
    , text_(std::move(text))
{}

EntryKeeper::~EntryKeeper()
{
    *self_ = nullptr;
    timers_.removeListener(*this);
}

template <typename Answer>
RecordStore::Reply<Answer>
EntryKeeper::whileAlive(void (EntryKeeper::*handle)(const absl::StatusOr<Answer> &))
{
    return [self = self_, handle](const absl::StatusOr<Answer> &answer) {
        if (*self != nullptr)
            ((*self)->*handle)(answer);
    };
}

void EntryKeeper::recordsListed(const std::vector<OperatorRecord> &records)
{
    const auto own = std::find_if(records.begin(), records.end(),
                                  [&](const auto &record) { return record.key == key_; });
    observe(own == records.end() ? nullptr : &*own);
}

void EntryKeeper::recordChanged(const OperatorRecord &record)
{
    if (record.key != key_ || record.revision < revision_)
        return;
    if (record.isRemoved)
        lease_ = Lease{};
    observe(record.isRemoved ? nullptr : &record);
}

void EntryKeeper::observe(const OperatorRecord *record)
{
    revision_ = record == nullptr ? Revision{} : record->revision;
    if (record != nullptr && record->text == text_)
        becomePresent();
    else if (state_ != State::Writing && state_ != State::Retrying)
        becomeAbsent();
}

void EntryKeeper::setWanted(bool isWanted)
{
    isWanted_ = isWanted;
    if (isWanted_ && state_ == State::Absent)
        write();
}

void EntryKeeper::becomeAbsent()
{
    state_ = State::Absent;
    timers_.removeListener(*this);
    if (isWanted_)
        write();
}

//==============================================================================
void EntryKeeper::write()
{
    state_ = State::Writing;
    timers_.removeListener(*this);
    if (lease_.id == 0)
        store_.grantLease(timeToLive, answerTime, whileAlive(&EntryKeeper::leaseGranted));
    else
        commit();
}

void EntryKeeper::leaseGranted(const absl::StatusOr<Lease> &answer)
{
    if (state_ != State::Writing)
        return;
    if (!answer.ok()) {
        retryLater();
        return;
    }
    lease_ = *answer;
    commit();
}

void EntryKeeper::commit()
{
    store_.commit({RecordWrite{key_, text_, revision_, lease_}}, answerTime,
                  whileAlive(&EntryKeeper::committed));
}

void EntryKeeper::committed(const absl::StatusOr<Revision> &answer)
{
    if (state_ != State::Writing)
        return;
    if (answer.ok()) {
        revision_ = std::max(revision_, *answer);
        becomePresent();
        return;
    }
    if (absl::IsNotFound(answer.status()))
        lease_ = Lease{};
    // After a lost answer or another change, the watch tells what the entry is now.
    retryLater();
}

void EntryKeeper::retryLater()
{
    state_ = State::Retrying;
    timers_.addListener(*this, retryTime);
}

void EntryKeeper::becomePresent()
{
    state_ = State::Present;
    if (lease_.id != 0)
        timers_.addListener(*this, renewalPeriod);
    else
        timers_.removeListener(*this);
}

void EntryKeeper::leaseRenewed(const absl::StatusOr<Lease> &answer)
{
    if (!absl::IsNotFound(answer.status()))
        return;
    lease_ = Lease{};
    becomeAbsent();
}

void EntryKeeper::timerElapsed(core::timing::MonotonicTime /*now*/)
{
    if (!isWanted_)
        becomeAbsent();
    else if (state_ == State::Present)
        store_.renewLease(lease_, answerTime, whileAlive(&EntryKeeper::leaseRenewed));
    else
        write();
}

} // namespace boragetrack::control::records
