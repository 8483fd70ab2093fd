/** Implements ClaimClient. */
#include "transport/serving/ClaimClient.h"

#include "traffic/deduplication/RegistrarChoice.h"

namespace boragetrack::transport::serving {

using core::identity::IdempotencyKey;
using core::identity::NodeId;
using traffic::deduplication::ClaimQuorum;
using traffic::routing::Registrar;

/** One claim under way. */
struct ClaimClient::Round
{
    IdempotencyKey key;
    NodeId claimant;
    std::vector<Registrar> candidates;
    /** The next candidate to stand in for one whose process is gone. */
    std::size_t nextSubstitute;
    ClaimQuorum ballot;
};

kj::Promise<ClaimQuorum> ClaimClient::claim(const IdempotencyKey &key, const NodeId &claimant,
                                            const std::vector<Registrar> &members)
{
    auto candidates = traffic::deduplication::chooseRegistrars(key, members, candidateCount);
    const std::size_t asked = std::min(ClaimQuorum::registrarCount, candidates.size());
    auto round = kj::heap<Round>(
            Round{key, claimant, std::move(candidates), asked, ClaimQuorum(claimant, asked)});
    auto answers = kj::heapArrayBuilder<kj::Promise<void>>(asked);
    for (std::size_t i = 0; i < asked; ++i)
        answers.add(askFrom(*round, i));
    return kj::joinPromises(answers.finish()).then([round = kj::mv(round)]() {
        return round->ballot;
    });
}

kj::Promise<void> ClaimClient::askFrom(Round &round, std::size_t position)
{
    return ask(round.candidates[position], round.key, round.claimant)
            .then(
                    [&round](const NodeId &holder) -> kj::Promise<void> {
                        round.ballot.recordResponse(holder);
                        return kj::READY_NOW;
                    },
                    [this, &round](kj::Exception &&exception) -> kj::Promise<void> {
                        // A refused connection proves that the process and its claims are gone, so
                        // the next candidate takes its place. Silence proves nothing.
                        const bool isGone
                                = exception.getType() == kj::Exception::Type::DISCONNECTED;
                        if (!isGone || round.nextSubstitute >= round.candidates.size())
                            return kj::READY_NOW;
                        return askFrom(round, round.nextSubstitute++);
                    });
}

kj::Promise<NodeId> ClaimClient::ask(const Registrar &registrar, const IdempotencyKey &key,
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
