/** Follows the changes of the store. */
#pragma once

#include "control/records/RecordStore.h"
#include "core/timing/TimerService.h"

#include <memory>
#include <random>

namespace boragetrack::control::records {

/**
    Reads all entries once and then watches for changes, for as long as it lives.

    States: listing, watching, waiting before the next try after a failure, and resting while the
    owner needs no news from here. A watch goes on from
    the revision of the last answer, so that no change is missed or taken twice; when the store has
    forgotten that revision, everything is listed again.
*/
class StoreFollower : private core::timing::TimerService::Listener
{
public:
    /** Receives what the store tells. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles all entries as of a revision. */
        virtual void recordsListed(const std::vector<StoreRecord> &records,
                                   core::identity::Revision revision)
                = 0;

        /** Handles the changes up to a revision. */
        virtual void recordsChanged(const RecordChanges &changes) = 0;

        /** Handles that the store does not answer any more. */
        virtual void storeUnavailable(const absl::Status &error) = 0;

        /** Handles that the store answers again. */
        virtual void storeRecovered() = 0;
    };

    /** How long one watch waits at the store; each watch is a priced call. */
    static constexpr std::chrono::milliseconds watchDuration{25'000};
    /** How long the first watch after a failure waits. A store that is not well may take a call and
        never answer it; a long watch is only sent to one that has just answered. */
    static constexpr std::chrono::milliseconds recoveryWatchDuration{500};
    /** How long the store may take to answer the probe that goes with each watch. A store that
       takes calls without answering them would otherwise leave the node deaf for the whole watch.
     */
    static constexpr std::chrono::milliseconds probeTimeout{1000};
    /** How long an answer may take beyond that; the store answers in milliseconds, or in a quarter
        of a second when it is slow. */
    static constexpr std::chrono::milliseconds responseTimeout{1500};
    /** The pause after changes came. Changes in quick succession then come together, which saves
        priced calls; it is a small part of the two seconds in which a change must be in force. */
    static constexpr std::chrono::milliseconds changeBatchDelay{400};
    /** The pause between a listing and the first watch: meanwhile most new nodes learn from their
        peers that they need no watch of their own. */
    static constexpr std::chrono::milliseconds firstWatchDelay{800};
    /** The wait after a first failure; doubles with each further one and is spread at random. */
    static constexpr std::chrono::milliseconds initialBackoff{150};
    /** Bounds the time for which a change stays unnoticed after the store is back. */
    static constexpr std::chrono::milliseconds maximumBackoff{1000};

    /** @param store, @param timers and @param listener outlive the follower */
    StoreFollower(RecordStore &store, core::timing::TimerService &timers, Listener &listener,
                  std::uint64_t randomSeed);
    ~StoreFollower() override;
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    /** Begins with a listing. */
    void start();

    /** Ends the following once the present watch ends, or goes on with it. @param known the
       revision that is known by other ways; only later changes are asked for */
    void setActive(bool isActive, core::identity::Revision known);

    /** Returns whether the store's changes are being followed and its last call was answered. */
    bool isFollowing() const { return isStoreReachable() && !isIdle_; }

    /** Returns whether the store answered the last call. */
    bool isStoreReachable() const { return failures_ == 0 && isListed_; }

private:
    void timerElapsed(core::timing::MonotonicTime now) override;
    void listFrom(const std::string &after);
    void handleListResponse(const absl::StatusOr<RecordPage> &response);
    void watch();
    void resume();
    void handleProbeResponse(const absl::StatusOr<core::identity::Revision> &response);
    void handleWatchResponse(const absl::StatusOr<RecordChanges> &response);
    void handleSuccess();
    void handleFailure(const absl::Status &error);
    std::chrono::milliseconds nextBackoff();

    // Wraps a member so that answers after this object's end are dropped.
    template <typename Response>
    RecordStore::Callback<Response>
    whileAlive(void (StoreFollower::*handle)(const absl::StatusOr<Response> &));

    RecordStore &store_;
    core::timing::TimerService &timers_;
    Listener &listener_;
    std::mt19937_64 random_;
    std::shared_ptr<StoreFollower *> self_ = std::make_shared<StoreFollower *>(this);
    // The pages of a listing under way, and the revision of its first page: changes after that one
    // may or may not be in later pages.
    std::vector<StoreRecord> listed_;
    core::identity::Revision listingRevision_;
    bool isListed_ = false;
    core::identity::Revision revision_;
    int failures_ = 0;
    // Counts the beginnings and ends of watches; what belongs to an earlier number is ignored.
    std::uint64_t watchNumber_ = 0;
    bool isActive_ = true;
    // Whether no call and no timer is pending because none is wanted.
    bool isIdle_ = false;
};

} // namespace boragetrack::control::records
