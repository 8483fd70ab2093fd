/** The serving side of a node: all work for the upstream beside it passes here. */
#pragma once

#include "control/moves/CallEvidence.h"
#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "traffic/admission/AdmissionQueue.h"
#include "traffic/calls/RunningCalls.h"
#include "traffic/deduplication/ClaimRegister.h"
#include "traffic/deduplication/ReplayTable.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/links/CallServer.h"
#include "transport/serving/ClaimClient.h"
#include "transport/serving/UpstreamClient.h"
#include "transport/serving/UpstreamStatus.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace boragetrack::transport::serving {

/**
    Admits calls to the upstream, runs keyed ones at most once and reports outcomes as evidence.

    It is the only place that talks to the upstream, so it knows for certain whether a call was
    begun. It lives on the link thread.
*/
class UpstreamGate : public links::CallServer, private kj::TaskSet::ErrorHandler
{
public:
    /** Takes the outcome of each call; called on the link thread. */
    using EvidenceSink = std::function<void(const control::moves::CallEvidence &)>;

    /** What a gate is made of; all references outlive it. */
    struct Parts
    {
        core::identity::NodeId self;
        /** Names this process to registrars. */
        core::identity::NodeId process;
        links::PeerLinks &links;
        kj::Network &network;
        kj::Timer &timer;
        const dialect::CallDialect &dialect;
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        std::unique_ptr<traffic::admission::AdmissionPolicy> admission;
        EvidenceSink evidence;
        core::counters::CounterRegistry &counters;
    };

    explicit UpstreamGate(Parts parts);
    ~UpstreamGate() noexcept override;

    /** Takes what is known of the upstream; nothing when it is gone. */
    void setUpstream(const std::optional<UpstreamStatus> &status);

    /** Refuses new calls from here on; those admitted still finish. */
    void drain();

    /** Returns what the upstream runs. */
    const traffic::calls::RunningCalls &running() const { return running_; }

    /** Returns the calls that were taken and not answered. */
    int activeCalls() const { return activeCalls_; }

    //==============================================================================
    kj::Promise<traffic::calls::CallAnswer> serve(traffic::calls::CallRequest request) override;
    core::identity::NodeId claim(const core::identity::IdempotencyKey &key,
                                 const core::identity::NodeId &claimant) override;
    void release(const core::identity::IdempotencyKey &key,
                 const core::identity::NodeId &claimant) override;

private:
    class ScopedAdmission;
    class ScopedWait;

    /** A place beside the upstream, or nothing when there was none. A null kj::Own will not do:
        a promise takes it for a missing value and ends the process. */
    using Place = kj::Maybe<kj::Own<ScopedAdmission>>;
    using Answer = traffic::calls::CallAnswer;
    using Request = traffic::calls::CallRequest;
    using Snapshot = std::shared_ptr<const traffic::routing::RoutingSnapshot>;

    kj::Promise<Answer> serveKeyed(kj::Own<Request> request);
    void startKeyed(kj::Own<Request> request);
    kj::Promise<Answer> claimAndSend(Request &request, kj::Own<ScopedAdmission> admission,
                                     const Snapshot &snapshot);
    void finishKeyed(const core::identity::IdempotencyKey &key, const Answer &answer);
    kj::Promise<Answer> awaitKeyed(const core::identity::IdempotencyKey &key,
                                   std::chrono::microseconds budget);

    kj::Promise<Answer> admitAndSend(kj::Own<Request> request);
    kj::Promise<Place> admit(const Request &request);
    kj::Promise<Answer> send(Request &request, kj::Own<ScopedAdmission> admission);
    Answer turnAway(const Request &request, const std::string &reason);
    void logServed(const Request &request, const Answer &answer, std::chrono::nanoseconds latency);
    void noteEnd(const Request &request, const Answer &answer, std::chrono::nanoseconds latency,
                 ScopedAdmission &admission);
    // Returns why a call may not go to the upstream now, if so.
    std::optional<std::string> obstacleFor(const Request &request) const;
    bool isUpstreamCold() const;
    void updateLimits();
    void updateCold();
    void lookLater();
    void pump();
    void decide(traffic::admission::AdmissionQueue::Ticket ticket, Place place);
    void taskFailed(kj::Exception &&exception) override;

    Parts parts_;
    UpstreamClient upstream_;
    ClaimClient claims_;
    traffic::admission::AdmissionLimits limits_;
    traffic::admission::AdmissionQueue queue_;
    traffic::deduplication::ReplayTable replays_;
    traffic::deduplication::ClaimRegister claimRegister_;
    std::optional<UpstreamStatus> status_;
    traffic::calls::RunningCalls running_;
    // The intent that limits_ follow.
    std::shared_ptr<const control::intent::IntentSnapshot> limitsIntent_;
    traffic::admission::AdmissionQueue::Ticket lastTicket_ = 0;
    // Invariant: one element for each request that waits in queue_.
    std::map<traffic::admission::AdmissionQueue::Ticket, ScopedWait *> waits_;
    std::unordered_map<core::identity::IdempotencyKey,
                       std::vector<kj::Own<kj::PromiseFulfiller<Answer>>>>
            keyedWaiters_;
    core::timing::MonotonicTime coldUntil_{};
    int activeCalls_ = 0;
    bool isLookPlanned_ = false;
    int answersSinceStart_ = 0;
    core::timing::MonotonicTime firstAnswerAt_{};
    core::counters::Counter &callsRun_;
    core::counters::Counter &callsRefused_;
    core::counters::Counter &callsReplayed_;
    kj::TaskSet tasks_;
};

} // namespace boragetrack::transport::serving
