/** Delivery of the store's changes to a node, across outages of the store. */
#pragma once

#include "control/records/RecordStore.h"
#include "control/records/WatchMonitor.h"
#include "core/timing/TimerService.h"

#include <memory>
#include <random>

namespace boragetrack::control::records {

/**
    Reads all records once and then watches for changes.

    States: listing, watching, waiting for a retry after a failure, and idle while the owner needs
    no updates from the store. A watch continues from the last change that was delivered, so that no
    change is missed or delivered twice; if the store has compacted that revision, all records are
    listed again.

    The revision that a response names proves nothing by itself: the store may have collected the
    events before a change and read its revision after it. It counts as far as it was known when the
    call was sent, as the events are collected later. If a response names a revision that it does
    not reach, the next watch follows at once and waits for a short time only. The same holds for
    the first page of a listing, after which a read follows at once. A read shows removals, which
    leave no record in a listing; if the store has compacted them, the records are listed again.
*/
class StoreFollower : private core::timing::TimerService::Listener, private WatchMonitor::Listener
{
public:
    /** Receives updates from the store and changes of its availability. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles a complete listing of the store.
            @param revision the revision up to which every change is in the listing */
        virtual void recordsListed(const std::vector<StoreRecord> &records,
                                   core::identity::Revision revision)
                = 0;

        /** Handles the changes up to a revision. */
        virtual void recordsChanged(const RecordChanges &changes) = 0;

        /** Handles that calls to the store have begun to fail. Called once per outage. */
        virtual void storeUnavailable(const absl::Status &error) = 0;

        /** Handles that calls to the store succeed again. */
        virtual void storeRecovered() = 0;

        /** Handles a later lastContact() that came with no update. */
        virtual void storeContacted() {}

        /** Handles that the store did not serve a call which would have shown that no change is
            missing. Called for each such call.
            @param reason the error */
        virtual void proofMissing(const absl::Status & /*reason*/) {}

        /** Returns a time before which no change is unknown to this node, as far as it or another
            node was in touch with the store; nothing without such a contact. */
        virtual std::optional<core::timing::MonotonicTime> sharedContact() const
        {
            return std::nullopt;
        }
    };

    /** How long one watch waits at the store; each watch is a charged call. */
    static constexpr std::chrono::milliseconds watchDuration{25'000};
    /** How long the first watch after a failure waits. A failing store may accept a call and
        never respond, so a long watch is only sent to a store that has just responded. Also the
        wait of a watch for what the last response named and did not carry: it comes at once, or the
        store counts a change that no watch shows. */
    static constexpr std::chrono::milliseconds recoveryWatchDuration{500};
    /** How long the store holds a read of the changes open, which is to respond at once. */
    static constexpr std::chrono::milliseconds readDuration{1};
    /** How long a response may take beyond the wait. The store responds within milliseconds, or a
        quarter of a second when it is slow. */
    static constexpr std::chrono::milliseconds responseTimeout{1500};
    /** The delay after a change before the next watch. Changes in quick succession then arrive
        together, which saves charged calls. A follower has no watch pending meanwhile; the delay is
        part of each sum of times that a change may take. */
    static constexpr std::chrono::milliseconds changeBatchDelay{300};
    /** The delay between a listing and the first watch. Meanwhile most new nodes learn from their
        peers that they need no watch of their own. */
    static constexpr std::chrono::milliseconds firstWatchDelay{800};
    /** The delay after the first failure; doubles with each further one and is randomised. */
    static constexpr std::chrono::milliseconds initialBackoff{150};
    /** Bounds the time for which a change stays unnoticed after the store has recovered. */
    static constexpr std::chrono::milliseconds maximumBackoff{1000};

    /** @param store, @param timers and @param listener must outlive the follower
        @param probePeriod the delay between probes of the store while a watch is pending */
    StoreFollower(RecordStore &store, core::timing::TimerService &timers, Listener &listener,
                  std::uint64_t randomSeed,
                  std::chrono::milliseconds probePeriod = WatchMonitor::probePeriod);
    ~StoreFollower() override;
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    /** Starts the first listing. */
    void start();

    /** Resumes watching, or becomes idle once the current watch ends.
        @param known a revision known from other sources; only later changes are requested */
    void setActive(bool isActive, core::identity::Revision known);

    /** Lists all records again: the store came back from a copy. */
    void listAgain();

    /** Sets the time between a proof that no change is missing and the next probe. */
    void setProbePeriod(std::chrono::milliseconds period) { monitor_.setPeriod(period); }

    /** Records a revision that another node holds. */
    void recordRevision(core::identity::Revision reported) { monitor_.recordRevision(reported); }

    /** Reads the changes from the store once, also while inactive. Does nothing while such a read
       is pending, and before the records were listed. */
    void readChanges();

    /** Abandons the current watch after the process was paused, and starts another one. Until the
        store has responded, changes may have been missed. */
    void resumeAfterPause();

    /** Returns whether the changes are being followed and nothing shows that some are missed. */
    bool isFollowing() const
    {
        return isStoreReachable() && !isIdle_ && !isUnconfirmed_ && monitor_.isReliable();
    }

    /** Returns whether the records have been listed and the last call succeeded. */
    bool isStoreReachable() const { return failures_ == 0 && isListed_; }

    /** Returns the time from which the store is known to have responded: when the last call was
       sent that it served and that left no change unknown. Nothing before the first one. */
    std::optional<core::timing::MonotonicTime> lastContact() const;

private:
    void timerElapsed(core::timing::MonotonicTime now) override;
    void watchLost(const absl::Status &reason) override;
    void watchProven() override { listener_.storeContacted(); }
    void proofMissing(const absl::Status &reason) override { listener_.proofMissing(reason); }
    std::optional<core::timing::MonotonicTime> sharedContact() const override
    {
        return listener_.sharedContact();
    }
    void listFrom(const std::string &after);
    void handleListResponse(const absl::StatusOr<RecordPage> &response);
    void watch(ReadConsistency firstProbe = ReadConsistency::MayBeStale);
    void endWatch();
    void resume();
    void handleReadResponse(const absl::StatusOr<RecordChanges> &response,
                            core::timing::MonotonicTime sentAt,
                            core::identity::Revision namedBeforeCall);
    void handleWatchResponse(const absl::StatusOr<RecordChanges> &response);
    void handleSuccess();
    void handleFailure(const absl::Status &error);
    std::chrono::milliseconds nextBackoff();

    RecordStore &store_;
    core::timing::TimerService &timers_;
    Listener &listener_;
    std::mt19937_64 random_;
    std::shared_ptr<StoreFollower *> self_ = std::make_shared<StoreFollower *>(this);
    // The pages of the current listing, and the revision up to which the first one is complete:
    // changes after that one may or may not be in later pages.
    std::vector<StoreRecord> listed_;
    core::identity::Revision listingRevision_;
    // Counts the listings; pages that belong to an earlier one are ignored. A listing without its
    // first page would remove the records of that page.
    std::uint64_t listingNumber_ = 0;
    bool isListed_ = false;
    // Every change up to this one was delivered, or is known from other sources.
    core::identity::Revision revision_;
    // The last revision that a listing or a response to a watch named, and what it was when the
    // current listing began and when the pending watch was sent.
    core::identity::Revision namedRevision_;
    core::identity::Revision namedBeforeListing_;
    core::identity::Revision namedBeforeWatch_;
    // Whether the next watch, or the pending one, requests what the last response did not carry.
    // Only one such watch follows a response, as a store may count changes that no watch shows.
    bool isCheckDue_ = false;
    bool isChecking_ = false;
    int failures_ = 0;
    // When the current listing or watch was sent, and the last one that was served.
    core::timing::MonotonicTime sentAt_{};
    std::optional<core::timing::MonotonicTime> servedAt_;
    bool isReadPending_ = false;
    // When the last read of the changes was sent that the store served.
    std::optional<core::timing::MonotonicTime> readAt_;
    // Invariant: runs exactly while a watch is pending.
    WatchMonitor monitor_;
    // Counts the starts and ends of watches; responses that belong to an earlier number are
    // ignored.
    std::uint64_t watchNumber_ = 0;
    bool isActive_ = true;
    // Whether no call and no timer is pending because the follower is not active.
    bool isIdle_ = false;
    // Whether the store has not responded since the process was paused.
    bool isUnconfirmed_ = false;
};

} // namespace boragetrack::control::records
