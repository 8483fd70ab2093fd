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
class EntryKeeper : private core::timing::TimerService::Listener
{
public:
    /** How long the entry outlives the node. Entries only tell addresses, so a stale one costs a
        failed connection; the store's longest lease needs the fewest renewals. */
    static constexpr std::chrono::minutes timeToLive{10};
    static constexpr std::chrono::milliseconds renewalPeriod = timeToLive / 3;
    /** The wait before a failed write is tried again; entries that were lost in an outage are
        expected back within two seconds of its end. */
    static constexpr std::chrono::milliseconds retryTime{700};
    static constexpr std::chrono::milliseconds answerTime{1500};

    /** @param store and @param timers outlive the keeper */
    EntryKeeper(RecordStore &store, core::timing::TimerService &timers, std::string key,
                std::string text);
    ~EntryKeeper() override;
    EntryKeeper(const EntryKeeper &) = delete;
    EntryKeeper &operator=(const EntryKeeper &) = delete;

    /** Sets whether the entry is to be there; one that is not needed any more ends with its lease.
     */
    void setWanted(bool isWanted);

    /** Takes all entries of the store. */
    void recordsListed(const std::vector<OperatorRecord> &records);

    /** Takes a change of the store. */
    void recordChanged(const OperatorRecord &record);

private:
    enum class State { Unknown, Absent, Present, Writing, Retrying };

    void timerElapsed(core::timing::MonotonicTime now) override;
    void observe(const OperatorRecord *record);
    void write();
    void commit();
    void committed(const absl::StatusOr<core::identity::Revision> &answer);
    void leaseGranted(const absl::StatusOr<Lease> &answer);
    void leaseRenewed(const absl::StatusOr<Lease> &answer);
    void retryLater();
    void becomePresent();
    void becomeAbsent();

    template <typename Answer>
    RecordStore::Reply<Answer>
    whileAlive(void (EntryKeeper::*handle)(const absl::StatusOr<Answer> &));

    RecordStore &store_;
    core::timing::TimerService &timers_;
    const std::string key_;
    const std::string text_;
    std::shared_ptr<EntryKeeper *> self_ = std::make_shared<EntryKeeper *>(this);
    State state_ = State::Unknown;
    bool isWanted_ = true;
    Lease lease_;
    // The entry's last known change; zero when it does not exist.
    core::identity::Revision revision_;
};

} // namespace boragetrack::control::records
