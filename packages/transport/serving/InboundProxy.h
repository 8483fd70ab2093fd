/** The inbound proxy: every request to the node's upstream passes through it. */
#pragma once

#include "control/moves/CallEvidence.h"
#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "core/counters/LatencyCounters.h"
#include "core/timing/PauseDetector.h"
#include "traffic/calls/RunningCalls.h"
#include "traffic/deduplication/ClaimRegister.h"
#include "traffic/inbound/ColdRate.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "traffic/usage/UsageMeter.h"
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
    Carries out the decisions of the inbound rules and of admission, and reports outcomes as
    evidence.

    No other object sends calls to the upstream, so the proxy knows for certain whether a call was
    started. Used on the traffic thread only. @see traffic::inbound::refusalReason
*/
class InboundProxy : public links::CallServer, private UpstreamClient::Listener
{
public:
    /** How long an upstream that starts again counts as cold before it has announced itself. */
    static constexpr std::chrono::milliseconds presumedColdTime{3000};

    /** Receives the outcome of each call; called on the traffic thread. */
    using EvidenceSink = std::function<void(const control::moves::CallEvidence &)>;

    /** The collaborators of an inbound proxy; all references outlive it. */
    struct Dependencies
    {
        core::identity::NodeId self;
        /** Identifies this process to registrars. */
        core::identity::NodeId process;
        links::PeerLinks &links;
        kj::Network &network;
        timing::PreciseTimer &timer;
        const dialect::CallDialect &dialect;
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        std::unique_ptr<traffic::admission::AdmissionPolicy> admission;
        EvidenceSink evidence;
        const core::timing::PauseDetector &pauses;
        core::counters::CounterRegistry &counters;
        /** Counts organisations' requests; null if they are not counted. */
        traffic::usage::UsageMeter *usageMeter = nullptr;
        std::unique_ptr<traffic::admission::QueueOrder> queueOrder
                = std::make_unique<traffic::admission::ObjectiveOrder>();
        /** The memory that bodies may take; null for no limit. */
        http::MemoryBudget *memory = nullptr;
    };

    explicit InboundProxy(Dependencies dependencies);
    ~InboundProxy() noexcept override;

    /** Updates the upstream's status; nothing when there is no upstream. */
    void setUpstream(const std::optional<UpstreamStatus> &status);

    /** Admits no further calls; those admitted or queued still finish. */
    void drain();

    /** Returns the calls that the upstream is running. */
    traffic::calls::RunningCalls &runningCalls() { return runningCalls_; }

    /** Returns the number of calls that were received and have not ended. */
    std::size_t activeCalls() const { return activeCalls_; }

    //==============================================================================
    kj::Promise<traffic::calls::CallResponse> serve(traffic::calls::CallRequest request) override;
    core::identity::NodeId claim(const core::identity::IdempotencyKey &key,
                                 const core::identity::NodeId &claimant) override;
    void release(const core::identity::IdempotencyKey &key,
                 const core::identity::NodeId &claimant) override;

private:
    using Response = traffic::calls::CallResponse;
    using Request = traffic::calls::CallRequest;

    void upstreamEnded() override;
    std::optional<std::string> refusalReason(const Request &request) const;
    kj::Promise<Response> admitAndSend(kj::Own<Request> request);
    kj::Promise<Response> send(Request &request, kj::Own<AdmissionController::ScopedPermit> permit);
    Response refuse(const Request &request, const std::string &reason);
    void recordOutcome(const Request &request, const Response &response,
                       std::chrono::nanoseconds latency, bool hasFailedNestedCall);
    void logServed(const Request &request, const Response &response,
                   std::chrono::nanoseconds latency);
    bool isUpstreamCold() const;
    // Returns the rate that applies to the upstream, for the log.
    std::string coldRateText() const;
    void applyIntent();
    void applyColdRate();

    Dependencies dependencies_;
    UpstreamClient upstreamClient_;
    ClaimClient claimClient_;
    AdmissionController admission_;
    traffic::deduplication::ClaimRegister claimRegister_;
    std::optional<UpstreamStatus> status_;
    traffic::calls::RunningCalls runningCalls_;
    // The intent that the present admission limits were derived from.
    std::shared_ptr<const control::intent::IntentSnapshot> appliedIntent_;
    traffic::inbound::ColdRate coldRate_;
    core::timing::MonotonicTime coldUntil_{};
    // Invariant: the number of calls that were received and have not ended.
    std::size_t activeCalls_ = 0;
    int responsesSinceStart_ = 0;
    core::timing::MonotonicTime firstResponseAt_{};
    core::counters::Counter &callsRun_;
    core::counters::Counter &callsRefused_;
    core::counters::LatencyCounters latencies_;
    // Invariant: destroyed first, since its running calls use the other members.
    KeyedCalls keyedCalls_;
};

} // namespace boragetrack::transport::serving
