/** A transport for tests of the control plane. */
#pragma once

#include "control/distribution/PeerTransport.h"

#include <set>
#include <vector>

namespace boragetrack::tests {

/** Keeps the exchanges and fetches that a node sends; none of its messages arrives anywhere. */
class RecordingTransport : public control::distribution::PeerTransport
{
public:
    void sendExchange(const control::distribution::PeerContact &peer,
                      const control::distribution::Exchange &exchange) override
    {
        contacted.insert(peer.address);
        exchanges.push_back(exchange);
    }
    void pushIntent(const control::distribution::PeerContact & /*peer*/,
                    const control::distribution::IntentTransfer & /*transfer*/) override
    {}
    void fetchIntent(const control::distribution::PeerContact &peer,
                     core::identity::Revision /*have*/) override
    {
        intentsFetchedFrom.push_back(peer.address);
    }
    void fetchMembers(const control::distribution::PeerContact &peer,
                      const control::membership::MemberTable::BucketHashes & /*hashes*/) override
    {
        membersFetchedFrom.push_back(peer.address);
    }

    std::vector<control::distribution::Exchange> exchanges;
    std::set<core::identity::NetworkAddress> contacted;
    std::vector<core::identity::NetworkAddress> intentsFetchedFrom;
    std::vector<core::identity::NetworkAddress> membersFetchedFrom;
};

} // namespace boragetrack::tests
