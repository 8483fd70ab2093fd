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
    probe gets no response, when the store has reported a newer revision twice without the watch
    delivering it, and when the store serves the node again after it refused a probe.

    A probe may be answered from a stale copy. That delays the second of these reports, and causes
    none that is wrong.
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
    };

    /** The usual delay between a response to a probe and the next probe. With the timeout it bounds
        the time for which a node believes that it follows a store that is silent. */
    static constexpr std::chrono::milliseconds probePeriod{1000};
    /** How long the store may take to respond to a probe. */
    static constexpr std::chrono::milliseconds probeTimeout{1000};

    /** @param store, @param timers and @param listener must outlive the monitor
        @param period the delay between a response to a probe and the next probe */
    WatchMonitor(RecordStore &store, core::timing::TimerService &timers, Listener &listener,
                 std::chrono::milliseconds period = probePeriod);
    ~WatchMonitor() override;
    WatchMonitor(const WatchMonitor &) = delete;
    WatchMonitor &operator=(const WatchMonitor &) = delete;

    /** Starts to monitor a watch that has just been sent, and sends the first probe.
        @param watched the revision after which the watch delivers changes */
    void start(core::identity::Revision watched);

    /** Ends the monitoring; responses to earlier probes are ignored. */
    void stop();

    /** Stops probing for a watch whose changes nobody relies on. Probes are charged calls. */
    void pause();

    /** Continues after pause(); does nothing otherwise. */
    void resume();

    /** Returns whether the pending watch can be relied on, as far as is known. Also true without a
        watch, and while the store refuses calls: it keeps watches that it has accepted, and if all
        nodes gave theirs up in an outage, their retries would meet the store as it recovers. */
    bool isReliable() const { return !isPaused_ && !isUnproven_; }

    /** Returns when the last probe was sent that the store served without a newer revision than the
        watch's; nothing before the first one. */
    std::optional<core::timing::MonotonicTime> provenAt() const { return provenAt_; }

private:
    void timerElapsed(core::timing::MonotonicTime now) override;
    void sendProbe();
    void handleResponse(const absl::StatusOr<core::identity::Revision> &response,
                        core::timing::MonotonicTime sentAt);
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
    // Invariant: false unless isRunning_.
    bool isPaused_ = false;
    // Whether no probe was served since pause(). Invariant: false unless isRunning_.
    bool isUnproven_ = false;
    // Whether the last response held a revision that the watch should have delivered.
    bool isBehind_ = false;
    // Whether the store refused the last probe. Invariant: false unless isRunning_.
    bool isRefused_ = false;
};

} // namespace boragetrack::control::records
