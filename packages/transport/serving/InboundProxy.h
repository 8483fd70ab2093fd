/** The serving side of a node: all work for the upstream beside it passes here. */
#pragma once

#include "control/moves/CallEvidence.h"
#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "core/counters/LatencyCounters.h"
#include "traffic/calls/RunningCalls.h"
#include "traffic/deduplication/ClaimRegister.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/links/CallServer.h"
#include "transport/serving/AdmissionController.h"
#include "transport/serving/ClaimClient.h"
#include "transport/serving/KeyedCalls.h"
#include "transport/serving/UpstreamClient.h"
#include "transport/serving/UpstreamStatus.h"

#include <functional>
#include <optional>

namespace boragetrack::transport::serving {

/**
    Carries out what the rules of the gate and admission decide, and reports outcomes as evidence.

    It is the only place that talks to the upstream, so it knows for certain whether a call was
    begun. It lives on the traffic thread. @see traffic::inbound::refusalReason
*/
class InboundProxy : public links::CallServer
{
public:
    /** Takes the outcome of each call; called on the traffic thread. */
    using EvidenceSink = std::function<void(const control::moves::CallEvidence &)>;

    /** What a gate is made of; all references outlive it. */
    struct Dependencies
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

    explicit InboundProxy(Dependencies parts);
    ~InboundProxy() noexcept override;

    /** Takes what is known of the upstream; nothing when it is gone. */
    void setUpstream(const std::optional<UpstreamStatus> &status);

    /** Refuses new calls from here on; those admitted still finish. */
    void drain();

    /** Returns what the upstream runs. */
    const traffic::calls::RunningCalls &runningCalls() const { return running_; }

    /** Returns the calls that were taken and not answered. */
    int activeCalls() const { return activeCalls_; }

    //==============================================================================
    kj::Promise<traffic::calls::CallResponse> serve(traffic::calls::CallRequest request) override;
    core::identity::NodeId claim(const core::identity::IdempotencyKey &key,
                                 const core::identity::NodeId &claimant) override;
    void release(const core::identity::IdempotencyKey &key,
                 const core::identity::NodeId &claimant) override;

private:
    class ScopedCount;
    using Answer = traffic::calls::CallResponse;
    using Request = traffic::calls::CallRequest;

    std::optional<std::string> obstacleFor(const Request &request) const;
    kj::Promise<Answer> admitAndSend(kj::Own<Request> request);
    kj::Promise<Answer> send(Request &request, kj::Own<AdmissionController::ScopedPermit> place);
    Answer turnAway(const Request &request, const std::string &reason);
    void noteEnd(const Request &request, const Answer &answer, std::chrono::nanoseconds latency);
    void logServed(const Request &request, const Answer &answer, std::chrono::nanoseconds latency);
    bool isUpstreamCold() const;
    void followIntent();

    Dependencies dependencies_;
    UpstreamClient upstream_;
    ClaimClient claims_;
    AdmissionController desk_;
    KeyedCalls keyed_;
    traffic::deduplication::ClaimRegister claimRegister_;
    std::optional<UpstreamStatus> status_;
    traffic::calls::RunningCalls running_;
    // The intent that the bounds of admission follow.
    std::shared_ptr<const control::intent::IntentSnapshot> limitsIntent_;
    core::timing::MonotonicTime coldUntil_{};
    // Invariant: not negative.
    int activeCalls_ = 0;
    int answersSinceStart_ = 0;
    core::timing::MonotonicTime firstAnswerAt_{};
    core::counters::Counter &callsRun_;
    core::counters::Counter &callsRefused_;
    core::counters::LatencyCounters latencies_;
};

} // namespace boragetrack::transport::serving
