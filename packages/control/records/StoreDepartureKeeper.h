/** Departures as records of the platform's store. */
#pragma once

#include "control/membership/DepartureKeeper.h"
#include "control/records/RecordStore.h"
#include "core/identity/NodeId.h"
#include "core/timing/TimerService.h"

#include <memory>
#include <optional>

namespace boragetrack::control::records {

/**
    Writes each departure under a lease. Unlike the memory of peers, a record outlives the kill of
    all nodes. A new process reads the records with its first listing of the store, so that they
    cost no further call there.
*/
class StoreDepartureKeeper : public membership::DepartureKeeper,
                             private core::timing::TimerService::Listener
{
public:
    /** How long a departure is kept. Announcements arrive seconds late at most. */
    static constexpr std::chrono::minutes timeToLive{2};
    /** How long a call may take; two calls fit into the time within which an upstream accepts an
        acknowledgement. */
    static constexpr std::chrono::milliseconds responseTimeout{400};
    /** The delay after the first failure; doubles with each further one, up to the maximum. */
    static constexpr std::chrono::milliseconds initialBackoff{100};
    static constexpr std::chrono::milliseconds maximumBackoff{3200};

    /** @param store and @param timers must outlive the keeper */
    StoreDepartureKeeper(RecordStore &store, core::timing::TimerService &timers,
                         core::identity::NodeId node);
    ~StoreDepartureKeeper() override;
    StoreDepartureKeeper(const StoreDepartureKeeper &) = delete;
    StoreDepartureKeeper &operator=(const StoreDepartureKeeper &) = delete;

    /** A departure replaces an earlier one that is still being written; an upstream whose departure
        was not acknowledged repeats it. */
    void keep(const membership::AnnouncementStamp &departure) override;
    bool isKept(const membership::AnnouncementStamp &departure) const override;

    /** Writes the last departure again: the store came back from a copy, which may lack it. */
    void keepAgain();

private:
    void timerElapsed(core::timing::MonotonicTime now) override;
    void write();
    void handleLeaseGranted(std::uint64_t attempt, const absl::StatusOr<Lease> &response);
    void handleCommitted(std::uint64_t attempt,
                         const absl::StatusOr<core::identity::Revision> &response);
    void handleFailure(const absl::Status &error);

    RecordStore &store_;
    core::timing::TimerService &timers_;
    const core::identity::NodeId node_;
    std::shared_ptr<StoreDepartureKeeper *> self_ = std::make_shared<StoreDepartureKeeper *>(this);
    // The departure that is being written.
    std::optional<membership::AnnouncementStamp> pending_;
    // The departure that was written last.
    std::optional<membership::AnnouncementStamp> kept_;
    // Counts the attempts to write; responses to an earlier one are ignored.
    std::uint64_t attempt_ = 0;
    std::chrono::milliseconds backoff_ = initialBackoff;
};

} // namespace boragetrack::control::records
