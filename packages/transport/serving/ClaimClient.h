/** Claims idempotency keys at their registrars. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "traffic/deduplication/ClaimQuorum.h"
#include "traffic/routing/Registrar.h"
#include "transport/links/CallServer.h"
#include "transport/links/PeerLinks.h"

#include <vector>

namespace boragetrack::transport::serving {

/** Sends claims before keyed requests run, and releases them for requests that did not run. */
class ClaimClient
{
public:
    /** Candidates for each key; more than the registrars needed, so that others can replace those
        whose process has ended. */
    static constexpr std::size_t candidateCount = 6;

    /** @param links outlives the client
        @param local handles claims that this node is a registrar for; outlives the client */
    ClaimClient(links::PeerLinks &links, links::CallServer &local, core::identity::NodeId self)
        : links_(links)
        , local_(local)
        , self_(std::move(self))
    {}

    /** Returns the registrars' responses to a claim; never rejects. */
    kj::Promise<traffic::deduplication::ClaimQuorum>
    claim(const core::identity::IdempotencyKey &key, const core::identity::NodeId &claimant,
          const std::vector<traffic::routing::Registrar> &members);

    /** Releases a claim at all candidates; never rejects. */
    kj::Promise<void> release(const core::identity::IdempotencyKey &key,
                              const core::identity::NodeId &claimant,
                              const std::vector<traffic::routing::Registrar> &members);

private:
    struct PendingClaim;

    kj::Promise<void> claimAt(PendingClaim &pending, std::size_t position);
    kj::Promise<core::identity::NodeId> sendClaim(const traffic::routing::Registrar &registrar,
                                                  const core::identity::IdempotencyKey &key,
                                                  const core::identity::NodeId &claimant);

    links::PeerLinks &links_;
    links::CallServer &local_;
    core::identity::NodeId self_;
};

} // namespace boragetrack::transport::serving
