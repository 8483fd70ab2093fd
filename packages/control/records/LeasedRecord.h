/** Maintenance of one record of this node in the store. */
#pragma once

#include "control/records/RecordContent.h"
#include "control/records/RecordStore.h"
#include "core/timing/TimerService.h"

#include <memory>

namespace boragetrack::control::records {

/**
    Writes a record under a lease, renews the lease and writes the record again when it was removed.

    A current record that a previous process of this node left is accepted as present; it is written
    again when that process's lease expires.
*/
class LeasedRecord : private core::timing::TimerService::Listener
{
public:
    /** How long the record outlives the node. Records hold only addresses, so a stale one costs one
        failed connection, and the store's longest lease needs the fewest renewals. */
    static constexpr std::chrono::minutes timeToLive{10};
    static constexpr std::chrono::milliseconds renewalPeriod = timeToLive / 3;
    /** The delay before a failed write is retried. Records that were lost in an outage are expected
        back within two seconds of its end. */
    static constexpr std::chrono::milliseconds retryDelay{700};
    static constexpr std::chrono::milliseconds responseTimeout{1500};

    /** @param store, @param timers and @param content must outlive the record */
    LeasedRecord(RecordStore &store, core::timing::TimerService &timers, std::string key,
                 const RecordContent &content);
    ~LeasedRecord() override;
    LeasedRecord(const LeasedRecord &) = delete;
    LeasedRecord &operator=(const LeasedRecord &) = delete;

    /** Sets whether the record should exist. A record that is no longer needed expires with its
        lease. */
    void setActive(bool isActive);

    /** Handles a complete listing of the store. */
    void recordsListed(const std::vector<StoreRecord> &records);

    /** Handles a change in the store. */
    void recordChanged(const StoreRecord &record);

private:
    enum class State { Unknown, Absent, Present, Writing, Retrying };

    void timerElapsed(core::timing::MonotonicTime now) override;
    void updateState(const StoreRecord *record);
    void write();
    void commit();
    void handleCommitted(const absl::StatusOr<core::identity::Revision> &response);
    void handleLeaseGranted(const absl::StatusOr<Lease> &response);
    void handleLeaseRenewed(const absl::StatusOr<Lease> &response);
    void scheduleRetry();
    void markPresent();
    void markAbsent();

    // Wraps a member function in a callback that does nothing once this object is destroyed.
    template <typename Response>
    RecordStore::Callback<Response>
    guardedCallback(void (LeasedRecord::*handle)(const absl::StatusOr<Response> &));

    RecordStore &store_;
    core::timing::TimerService &timers_;
    const std::string key_;
    const RecordContent &content_;
    std::shared_ptr<LeasedRecord *> self_ = std::make_shared<LeasedRecord *>(this);
    State state_ = State::Unknown;
    bool isActive_ = true;
    Lease lease_;
    // The revision of the record's last known change; zero if the record does not exist.
    core::identity::Revision revision_;
};

} // namespace boragetrack::control::records
