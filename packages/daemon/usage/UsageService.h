/** Runs the usage reports of a node on the control thread. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "control/records/RecordObserver.h"
#include "control/usage/UsageReporter.h"
#include "daemon/service/ControlThread.h"
#include "daemon/usage/TrackedTransport.h"
#include "daemon/usage/UsageEvents.h"
#include "daemon/usage/UsageSampler.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace boragetrack::daemon::usage {

/** Owns the reporter and passes it the counts of the traffic thread, the members and the records of
    the store. Used on the control thread only, unless stated otherwise. */
class UsageService : public control::records::RecordObserver
{
public:
    /** Posts a task to a thread. @returns false when the thread has ended */
    using Executor = std::function<bool(std::function<void()>)>;

    /** Settings and collaborators of the service; references outlive it. */
    struct Dependencies
    {
        control::records::RecordStore &store;
        control::usage::UsageReceiver &receiver;
        const control::usage::LeaseClock &leaseClock;
        service::ControlThread &controlThread;
        Executor trafficThread;
        core::counters::CounterRegistry &counters;
        /** This process. */
        control::usage::DutyHolder self;
        control::usage::UsageSettings settings;
    };

    explicit UsageService(Dependencies dependencies);
    ~UsageService() override;
    UsageService(const UsageService &) = delete;
    UsageService &operator=(const UsageService &) = delete;

    /** Returns the component of the traffic thread that counts requests. */
    UsageSampler &sampler() { return sampler_; }

    /** Starts to send counts and to apply for the duty.
        @param transport and @param plane outlive the service's use until stop() */
    void start(control::usage::UsageTransport &transport,
               const control::distribution::ControlPlane &plane);

    /** Ends all activity; later events are dropped. */
    void stop();

    /** Handles that members changed. */
    void membersChanged() { haveMembersChanged_ = true; }

    /** Passes on what changed; called several times a second. */
    void update();

    /** Takes over the counts that a peer sent. @returns the last window known as reported */
    control::usage::UsageWindow snapshotReceived(const control::usage::UsageSnapshot &snapshot);

    /** Gives the duty up, as the node is about to stop. */
    void beginStop();

    /** Sends the final counts of this process and waits until the peers that receive them have
        acknowledged them, or until the timeout. Called on another thread, when no further request
        begins to run. */
    void sendFinalCounts(std::chrono::milliseconds timeout);

    /** Returns the state for operators; null while the service does not run. */
    nlohmann::json status() const;

    void recordsChanged(const control::records::RecordTable &records) override;

private:
    void takeSample(const UsageSampler::Sample &sample);
    void takeFinalSample(const UsageSampler::Sample &sample, const std::function<void()> &whenSent);
    void forgetReported();
    std::vector<control::usage::DutyHolder> liveMembers() const;

    Dependencies dependencies_;
    UsageEvents events_;
    UsageSampler sampler_;
    const control::distribution::ControlPlane *plane_ = nullptr;
    std::optional<TrackedTransport> transport_;
    std::unique_ptr<control::usage::UsageReporter> reporter_;
    bool haveMembersChanged_ = true;
    std::uint64_t lastSequence_ = 0;
    // The last window that the meter was told to forget.
    control::usage::UsageWindow forgottenThrough_;
};

} // namespace boragetrack::daemon::usage
