/** Deduplicates calls that carry an idempotency key. */
#pragma once

#include "core/concurrency/Published.h"
#include "traffic/deduplication/ReplayTable.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/serving/AdmissionController.h"
#include "transport/serving/ClaimClient.h"
#include "transport/timing/PreciseTimer.h"

#include <functional>
#include <unordered_map>

namespace boragetrack::transport::serving {

/** Runs each key at most once: a call runs only after its registrars granted a claim, and
    duplicates receive the first response. */
class KeyedCalls : private kj::TaskSet::ErrorHandler
{
public:
    using Response = traffic::calls::CallResponse;
    using Request = traffic::calls::CallRequest;

    /** Sends an admitted call to the upstream. */
    using Send = std::function<kj::Promise<Response>(Request &,
                                                     kj::Own<AdmissionController::ScopedPermit>)>;

    /** The collaborators of keyed calls; all references outlive them. */
    struct Dependencies
    {
        /** Identifies this process to registrars. */
        core::identity::NodeId process;
        ClaimClient &claims;
        AdmissionController &admission;
        Send send;
        timing::PreciseTimer &timer;
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
    };

    explicit KeyedCalls(Dependencies dependencies)
        : dependencies_(std::move(dependencies))
        , tasks_(*this)
    {}
    ~KeyedCalls() noexcept = default;
    KeyedCalls(const KeyedCalls &) = delete;
    KeyedCalls &operator=(const KeyedCalls &) = delete;

    /** Returns whether the response to a key is stored. */
    bool hasResponse(const core::identity::IdempotencyKey &key) const;

    /** Returns the response to a call; a duplicate receives the stored response, or waits for the
        running call within its own time budget. */
    kj::Promise<Response> serve(kj::Own<Request> request);

    /** Returns the number of duplicates that did not run again. */
    std::uint64_t replayed() const { return replayed_; }

private:
    using Snapshot = std::shared_ptr<const traffic::routing::RoutingSnapshot>;

    void start(kj::Own<Request> request);
    kj::Promise<Response> claimAndSend(Request &request,
                                       kj::Own<AdmissionController::ScopedPermit> permit,
                                       const Snapshot &snapshot);
    void finish(const core::identity::IdempotencyKey &key, const Response &response);
    kj::Promise<Response> awaitResponse(const core::identity::IdempotencyKey &key,
                                        std::chrono::microseconds budget);
    void taskFailed(kj::Exception &&exception) override;

    Dependencies dependencies_;
    traffic::deduplication::ReplayTable replays_;
    std::unordered_map<core::identity::IdempotencyKey,
                       std::vector<kj::Own<kj::PromiseFulfiller<Response>>>>
            waiters_;
    std::uint64_t replayed_ = 0;
    kj::TaskSet tasks_;
};

} // namespace boragetrack::transport::serving
