/** Calls that carry an idempotency key. */
#pragma once

#include "core/concurrency/Published.h"
#include "traffic/deduplication/ReplayTable.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/serving/AdmissionController.h"
#include "transport/serving/ClaimClient.h"

#include <functional>
#include <unordered_map>

namespace boragetrack::transport::serving {

/** Runs each key at most once: repeats get the first answer, and registrars are asked before a call
    runs. */
class KeyedCalls : private kj::TaskSet::ErrorHandler
{
public:
    using Answer = traffic::calls::CallResponse;
    using Request = traffic::calls::CallRequest;

    /** Sends an admitted call to the upstream. */
    using Send = std::function<kj::Promise<Answer>(Request &,
                                                   kj::Own<AdmissionController::ScopedPermit>)>;

    /** What keyed calls work with; references outlive them. */
    struct Dependencies
    {
        /** Names this process to registrars. */
        core::identity::NodeId process;
        ClaimClient &claims;
        AdmissionController &desk;
        Send send;
        kj::Timer &timer;
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
    };

    explicit KeyedCalls(Dependencies parts)
        : dependencies_(std::move(parts))
        , tasks_(*this)
    {}
    ~KeyedCalls() noexcept = default;
    KeyedCalls(const KeyedCalls &) = delete;
    KeyedCalls &operator=(const KeyedCalls &) = delete;

    /** Returns whether a key's answer is remembered. */
    bool hasResponse(const core::identity::IdempotencyKey &key) const;

    /** Returns the answer to a call, from memory if it was given before. */
    kj::Promise<Answer> serve(kj::Own<Request> request);

    /** Returns the repeats that were answered from memory. */
    std::uint64_t replayed() const { return replayed_; }

private:
    using Snapshot = std::shared_ptr<const traffic::routing::RoutingSnapshot>;

    void start(kj::Own<Request> request);
    kj::Promise<Answer> claimAndSend(Request &request,
                                     kj::Own<AdmissionController::ScopedPermit> place,
                                     const Snapshot &snapshot);
    void finish(const core::identity::IdempotencyKey &key, const Answer &answer);
    kj::Promise<Answer> await(const core::identity::IdempotencyKey &key,
                              std::chrono::microseconds budget);
    void taskFailed(kj::Exception &&exception) override;

    Dependencies dependencies_;
    traffic::deduplication::ReplayTable replays_;
    std::unordered_map<core::identity::IdempotencyKey,
                       std::vector<kj::Own<kj::PromiseFulfiller<Answer>>>>
            waiters_;
    std::uint64_t replayed_ = 0;
    kj::TaskSet tasks_;
};

} // namespace boragetrack::transport::serving
