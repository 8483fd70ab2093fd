/** The claims that this node keeps for others. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "core/identity/NodeId.h"
#include "core/timing/MonotonicTime.h"

#include <deque>
#include <unordered_map>

namespace boragetrack::traffic::deduplication {

/** Keeps, for a share of all keys, which node took the request; the first claim wins. */
class ClaimRegister
{
public:
    /** How long a claim is kept; longer than any answer is remembered. */
    static constexpr std::chrono::minutes retentionTime{12};
    /** Claims kept at most; beyond it, new claims are denied. */
    static constexpr std::size_t capacity = 200'000;

    /** Claims a key for a node. @returns the node that holds the claim; empty when none can */
    core::identity::NodeId claim(const core::identity::IdempotencyKey &key,
                                 const core::identity::NodeId &claimant,
                                 core::timing::MonotonicTime now);

    /** Gives up a claim of a node whose request certainly did not run. */
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
    std::deque<Expiry> expiries_;
};

} // namespace boragetrack::traffic::deduplication
