/** The claims on idempotency keys that this node stores as a registrar. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "core/identity/NodeId.h"
#include "core/timing/MonotonicTime.h"

#include <deque>
#include <unordered_map>

namespace boragetrack::traffic::deduplication {

/** Stores which node claimed each key; the first claim wins until it is released or expires. Nodes
    are identified by their process ids, so that a restarted node is another claimant. */
class ClaimRegister
{
public:
    /** How long a claim is kept: longer than any response is, so that a key never becomes free
        while its response can still be replayed. */
    static constexpr std::chrono::minutes retentionTime{12};
    /** The maximum number of claims; further claims are denied. */
    static constexpr std::size_t capacity = 200'000;

    /** Claims a key for a node. @returns the node that holds the claim, which may be the claimant;
        empty when the register is full */
    core::identity::NodeId claim(const core::identity::IdempotencyKey &key,
                                 const core::identity::NodeId &claimant,
                                 core::timing::MonotonicTime now);

    /** Removes a node's claim after its request certainly did not run; other claims stay. */
    void release(const core::identity::IdempotencyKey &key, const core::identity::NodeId &claimant);

private:
    struct Expiry
    {
        core::identity::IdempotencyKey key;
        core::timing::MonotonicTime at;
    };

    struct Claim
    {
        core::identity::NodeId holder;
        core::timing::MonotonicTime expiresAt;
    };

    void expire(core::timing::MonotonicTime now);

    std::unordered_map<core::identity::IdempotencyKey, Claim> claims_;
    // Invariant: in the order of expiry; holds an element for each claim, and also for claims that
    // were released before they expired.
    std::deque<Expiry> expiries_;
};

} // namespace boragetrack::traffic::deduplication
