/** Sends a claim to the preferred registrars in parallel; a registrar whose process has ended is
    replaced by the next candidate. */
#include "transport/serving/ClaimClient.h"

#include "traffic/deduplication/RegistrarChoice.h"

namespace boragetrack::transport::serving {

using core::identity::IdempotencyKey;
using core::identity::NodeId;
using traffic::deduplication::ClaimQuorum;
using traffic::routing::Registrar;

/** The state of one claim until all its registrars have responded or failed. */
struct ClaimClient::PendingClaim
{
    IdempotencyKey key;
    NodeId claimant;
    std::vector<Registrar> candidates;
    /** The position of the next candidate to replace a registrar whose process has ended. */
    std::size_t nextSubstitute;
    ClaimQuorum quorum;
};

kj::Promise<ClaimQuorum> ClaimClient::claim(const IdempotencyKey &key, const NodeId &claimant,
                                            const std::vector<Registrar> &members)
{
    auto candidates = traffic::deduplication::chooseRegistrars(key, members, candidateCount);
    const std::size_t registrars = std::min(ClaimQuorum::registrarCount, candidates.size());
    auto pending = kj::heap<PendingClaim>(PendingClaim{
            key, claimant, std::move(candidates), registrars, ClaimQuorum(claimant, registrars)});
    auto claims = kj::heapArrayBuilder<kj::Promise<void>>(registrars);
    for (std::size_t i = 0; i < registrars; ++i)
        claims.add(claimAt(*pending, i));
    return kj::joinPromises(claims.finish()).then([pending = kj::mv(pending)]() {
        return pending->quorum;
    });
}

kj::Promise<void> ClaimClient::claimAt(PendingClaim &pending, std::size_t position)
{
    return sendClaim(pending.candidates[position], pending.key, pending.claimant)
            .then(
                    [&pending](const NodeId &holder) -> kj::Promise<void> {
                        pending.quorum.recordResponse(holder);
                        return kj::READY_NOW;
                    },
                    [this, &pending](kj::Exception &&exception) -> kj::Promise<void> {
                        // A process that refuses connections has ended, or grants no claims any
                        // more, so the next candidate replaces it. A timeout proves nothing.
                        const bool hasEnded
                                = exception.getType() == kj::Exception::Type::DISCONNECTED;
                        if (!hasEnded || pending.nextSubstitute >= pending.candidates.size())
                            return kj::READY_NOW;
                        return claimAt(pending, pending.nextSubstitute++);
                    });
}

kj::Promise<NodeId> ClaimClient::sendClaim(const Registrar &registrar, const IdempotencyKey &key,
                                           const NodeId &claimant)
{
    if (registrar.node == self_)
        return local_.claim(key, claimant);
    return links_.claim(registrar.address, key, claimant);
}

kj::Promise<void> ClaimClient::release(const IdempotencyKey &key, const NodeId &claimant,
                                       const std::vector<Registrar> &members)
{
    const auto candidates = traffic::deduplication::chooseRegistrars(key, members, candidateCount);
    auto released = kj::heapArrayBuilder<kj::Promise<void>>(candidates.size());
    for (const Registrar &registrar : candidates) {
        if (registrar.node == self_)
            local_.release(key, claimant);
        kj::Promise<void> done = registrar.node == self_
                                         ? kj::Promise<void>(kj::READY_NOW)
                                         : links_.release(registrar.address, key, claimant);
        released.add(done.catch_([](kj::Exception && /*exception*/) {}));
    }
    return kj::joinPromises(released.finish());
}

} // namespace boragetrack::transport::serving
