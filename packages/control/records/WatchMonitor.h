/** Detection of watches that will not deliver the store's changes any more. */
#pragma once

#include "control/records/RecordStore.h"
#include "core/timing/TimerService.h"

#include <memory>
#include <optional>

namespace boragetrack::control::records {

/**
    Probes the store for as long as a watch is pending.

    A store that stops responding to a node leaves the node's watch pending without a failure, and a
    single response can be lost while others arrive. The monitor reports a watch as lost when a
    probe gets no response, when the watch has not delivered a known change within deliveryTime, and
    when the store serves the node again after it refused a probe.

    A stale read can hide a change for as long as it is old, so only linearizable ones prove that no
    change is missing. As these cost a whole call, none is sent while contacts of other nodes with
    the store prove the same. The first probe of a watch and those to a store that refuses calls
   only show whether the store responds, and may be stale.
*/
class WatchMonitor : private core::timing::TimerService::Listener
{
public:
    /** Receives the loss of the monitored watch. */
    class Listener
    {
    public:
        virtual ~Listener() = default;

        /** Handles that the watch will not deliver all changes. The monitor has stopped.
            @param reason why the watch is taken for lost */
        virtual void watchLost(const absl::Status &reason) = 0;

        /** Handles that a probe proved that no change is missing. */
        virtual void watchProven() = 0;

        /** Handles that the store refused a probe, or may not respond to it or to the watch.
            @param reason the error */
        virtual void proofMissing(const absl::Status &reason) = 0;

        /** Returns a time before which no change is unknown here, as far as this node or another
           one that told it was in touch with the store; nothing without such a contact. */
        virtual std::optional<core::timing::MonotonicTime> sharedContact() const = 0;
    };

    /** The usual time between a proof that no change is missing and the next probe. With
        overdueTime, a read by another node and promptDeliveryTime it stays below the second in
        which a change must be in force after one disturbance. */
    static constexpr std::chrono::milliseconds probePeriod{400};
    /** How long a change that another node holds may take to arrive by the watch. Nodes differ in
       how soon they handle what the store sent to all. */
    static constexpr std::chrono::milliseconds deliveryTime{500};
    /** The time after which a change that another node holds counts as a missing proof, so that it
       is fetched from there. Longer than a node waits for the processor under its quota, as a
        fetch that was not needed carries the whole configuration. */
    static constexpr std::chrono::milliseconds promptDeliveryTime{150};
    /** How long a change that a probe has shown may take to arrive by the watch, which the store
        serves before. */
    static constexpr std::chrono::milliseconds probedDeliveryTime{200};
    /** The time after which a probe without a response counts as a missing proof. */
    static constexpr std::chrono::milliseconds overdueTime{150};
    /** How long the store may take to respond to a probe. */
    static constexpr std::chrono::milliseconds probeTimeout{1000};

    /** @param store, @param timers and @param listener must outlive the monitor
        @param period the time between a proof and the next probe */
    WatchMonitor(RecordStore &store, core::timing::TimerService &timers, Listener &listener,
                 std::chrono::milliseconds period = probePeriod);
    ~WatchMonitor() override;
    WatchMonitor(const WatchMonitor &) = delete;
    WatchMonitor &operator=(const WatchMonitor &) = delete;

    /** Starts to monitor a watch that has just been sent. Sends the first probe, unless it may be
        stale and the last contact is recent: what it could show is known.
        @param watched the revision after which the watch delivers changes
        @param consistency of the first probe */
    void start(core::identity::Revision watched, ReadConsistency consistency);

    /** Ends the monitoring; responses to earlier probes are ignored. */
    void stop();

    /** Stops probing for a watch whose changes nobody relies on. Probes are charged calls. */
    void pause();

    /** Continues after pause(); does nothing otherwise. */
    void resume();

    /** Sets the time between a proof and the next probe. */
    void setPeriod(std::chrono::milliseconds period);

    /** Records that no change before a time is unknown here. */
    void recordContact(core::timing::MonotonicTime at);

    /** Records a revision that another node holds. */
    void recordRevision(core::identity::Revision reported);

    /** Returns whether the pending watch can be relied on, as far as is known. Also true without a
        watch, and while the store refuses calls: it keeps watches that it has accepted, and if all
        nodes gave theirs up in an outage, their retries would meet the store as it recovers. */
    bool isReliable() const { return !isPaused_ && !isUnproven_; }

    /** Returns when the last linearizable probe was sent that the store served without a newer
        revision than the watch's; nothing before the first one. */
    std::optional<core::timing::MonotonicTime> provenAt() const { return provenAt_; }

private:
    void timerElapsed(core::timing::MonotonicTime now) override;
    void sendProbe(ReadConsistency consistency);
    void handleResponse(const absl::StatusOr<core::identity::Revision> &response,
                        ReadConsistency consistency, core::timing::MonotonicTime sentAt);
    void expectDelivery(std::chrono::milliseconds delay);
    core::timing::MonotonicTime nextProbeAt() const;
    void scheduleTimer();
    void reportLost(const absl::Status &reason);

    RecordStore &store_;
    core::timing::TimerService &timers_;
    Listener &listener_;
    std::chrono::milliseconds period_;
    std::shared_ptr<WatchMonitor *> self_ = std::make_shared<WatchMonitor *>(this);
    // Counts the starts and ends; responses that belong to an earlier number are ignored.
    std::uint64_t number_ = 0;
    core::identity::Revision watched_;
    std::optional<core::timing::MonotonicTime> provenAt_;
    bool isRunning_ = false;
    // The last contact of any node, or the last probe that was linearizable or refused.
    core::timing::MonotonicTime contactAt_{};
    // When a known change has to be delivered, and when its absence counts as a missing proof; the
    // latter is nothing once it does. Invariant: both nothing unless isRunning_.
    std::optional<core::timing::MonotonicTime> deliveryDueAt_;
    std::optional<core::timing::MonotonicTime> promptDeliveryDueAt_;
    // Invariant: false unless isRunning_.
    bool isProbePending_ = false;
    // When the pending probe counts as a missing proof; nothing if it does, or none is pending.
    std::optional<core::timing::MonotonicTime> overdueAt_;
    // Invariant: false unless isRunning_.
    bool isPaused_ = false;
    // Whether the watch's first probe has no response yet. Invariant: false unless isRunning_.
    bool isFirstProbePending_ = false;
    // Whether no linearizable probe has proven the watch since it was resumed, or begun for other
    // nodes. Invariant: false unless isRunning_.
    bool isUnproven_ = false;
    // Whether the store refused the last probe, and when. Invariant: false unless isRunning_.
    bool isRefused_ = false;
    core::timing::MonotonicTime refusedAt_{};
};

} // namespace boragetrack::control::records
