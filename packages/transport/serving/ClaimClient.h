/** Claims idempotency keys at registrars. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "traffic/deduplication/ClaimQuorum.h"
#include "traffic/routing/Registrar.h"
#include "transport/links/CallServer.h"
#include "transport/links/PeerLinks.h"

#include <vector>

namespace boragetrack::transport::serving {

/** Asks the registrars of a key before a request runs, and tells them when it did not run. */
class ClaimClient
{
public:
    /** Candidates tried for each key: more than registrars needed, for those whose process died. */
    static constexpr std::size_t candidateCount = 6;

    /** @param links and @param local outlive the client */
    ClaimClient(links::PeerLinks &links, links::CallServer &local, core::identity::NodeId self)
        : links_(links)
        , local_(local)
        , self_(std::move(self))
    {}

    /** Returns the registrars' answers to a claim; never rejects. */
    kj::Promise<traffic::deduplication::ClaimQuorum>
    claim(const core::identity::IdempotencyKey &key, const core::identity::NodeId &claimant,
          const std::vector<traffic::routing::Registrar> &members);

    /** Gives up a claim at all its registrars; never rejects. */
    kj::Promise<void> release(const core::identity::IdempotencyKey &key,
                              const core::identity::NodeId &claimant,
                              const std::vector<traffic::routing::Registrar> &members);

private:
    struct Round;

    kj::Promise<void> askFrom(Round &round, std::size_t position);
    kj::Promise<core::identity::NodeId> ask(const traffic::routing::Registrar &registrar,
                                            const core::identity::IdempotencyKey &key,
                                            const core::identity::NodeId &claimant);

    links::PeerLinks &links_;
    links::CallServer &local_;
    core::identity::NodeId self_;
};

} // namespace boragetrack::transport::serving
