/** Implements ClaimRegister. */
#include "traffic/deduplication/ClaimRegister.h"

namespace boragetrack::traffic::deduplication {

using core::identity::IdempotencyKey;
using core::identity::NodeId;
using core::timing::MonotonicTime;

NodeId ClaimRegister::claim(const IdempotencyKey &key, const NodeId &claimant, MonotonicTime now)
{
    expire(now);
    const auto found = claims_.find(key);
    if (found != claims_.end())
        return found->second.holder;
    if (claims_.size() >= capacity)
        return NodeId{};
    claims_.emplace(key, Claim{claimant, now + retentionTime});
    expiries_.push_back(Expiry{key, now + retentionTime});
    return claimant;
}

void ClaimRegister::release(const IdempotencyKey &key, const NodeId &claimant)
{
    const auto found = claims_.find(key);
    if (found != claims_.end() && found->second.holder == claimant)
        claims_.erase(found);
}

void ClaimRegister::expire(MonotonicTime now)
{
    while (!expiries_.empty() && expiries_.front().at <= now) {
        // A released key may have been claimed anew since; that claim has its own expiry.
        const auto found = claims_.find(expiries_.front().key);
        if (found != claims_.end() && found->second.expiresAt <= now)
            claims_.erase(found);
        expiries_.pop_front();
    }
}

} // namespace boragetrack::traffic::deduplication
