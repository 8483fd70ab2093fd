/** Keeps one entry of this node in the store. */
#pragma once

#include "control/records/RecordStore.h"
#include "core/timing/TimerService.h"

#include <memory>

namespace boragetrack::control::records {

/**
    Writes an entry under a lease, renews the lease and writes the entry again when it is gone.

    An entry that a former process of this node left with the same text is as good as an own one;
    it is written again when that process's lease ends.
*/
class LeasedRecord : private core::timing::TimerService::Listener
{
public:
    /** How long the entry outlives the node. Entries only tell addresses, so a stale one costs a
        failed connection; the store's longest lease needs the fewest renewals. */
    static constexpr std::chrono::minutes timeToLive{10};
    static constexpr std::chrono::milliseconds renewalPeriod = timeToLive / 3;
    /** The wait before a failed write is tried again; entries that were lost in an outage are
        expected back within two seconds of its end. */
    static constexpr std::chrono::milliseconds retryDelay{700};
    static constexpr std::chrono::milliseconds responseTimeout{1500};

    /** @param store and @param timers outlive the keeper */
    LeasedRecord(RecordStore &store, core::timing::TimerService &timers, std::string key,
                 std::string text);
    ~LeasedRecord() override;
    LeasedRecord(const LeasedRecord &) = delete;
    LeasedRecord &operator=(const LeasedRecord &) = delete;

    /** Sets whether the entry is to be there; one that is not needed any more ends with its lease.
     */
    void setActive(bool isActive);

    /** Takes all entries of the store. */
    void recordsListed(const std::vector<StoreRecord> &records);

    /** Takes a change of the store. */
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
    void retryLater();
    void markPresent();
    void markAbsent();

    template <typename Response>
    RecordStore::Callback<Response>
    whileAlive(void (LeasedRecord::*handle)(const absl::StatusOr<Response> &));

    RecordStore &store_;
    core::timing::TimerService &timers_;
    const std::string key_;
    const std::string text_;
    std::shared_ptr<LeasedRecord *> self_ = std::make_shared<LeasedRecord *>(this);
    State state_ = State::Unknown;
    bool isActive_ = true;
    Lease lease_;
    // The entry's last known change; zero when it does not exist.
    core::identity::Revision revision_;
};

} // namespace boragetrack::control::records
