/** The client side of links between nodes. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "control/membership/MemberTable.h"
#include "core/identity/IdempotencyKey.h"
#include "core/identity/NetworkAddress.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "transport/links/LinkCounters.h"
#include "transport/links/LinkEncoding.h"
#include "transport/wire/TextCompressor.h"
#include "transport/wire/peer.capnp.h"

#include <chrono>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <map>

namespace boragetrack::transport::links {

/** Keeps one multiplexed link to each peer that is in use; lives on the link thread. */
class PeerLinks : private kj::TaskSet::ErrorHandler
{
public:
    /** The time to connect, and to answer a control message. */
    static constexpr std::chrono::milliseconds connectTimeout{250};
    static constexpr std::chrono::milliseconds controlTimeout{1000};
    /** A link that carried nothing for so long is closed. */
    static constexpr std::chrono::seconds idleTime{60};

    /** Tells how a link to an address is to be framed. */
    using EncodingSelector = std::function<LinkEncoding(const core::identity::NetworkAddress &)>;

    PeerLinks(kj::Network &network, kj::Timer &timer, EncodingSelector encodingFor,
              LinkCounters counters);
    ~PeerLinks() noexcept(false);

    //==============================================================================
    /** Returns the answer to a call; never rejects. */
    kj::Promise<traffic::calls::CallResponse> call(const core::identity::NetworkAddress &peer,
                                                   const traffic::calls::CallRequest &request);

    /** Returns the holder of a claim after asking a registrar; rejects with OVERLOADED when the
        registrar's process is certainly gone. */
    kj::Promise<core::identity::NodeId> claim(const core::identity::NetworkAddress &peer,
                                              const core::identity::IdempotencyKey &key,
                                              const core::identity::NodeId &claimant);

    /** Asks a registrar to drop a claim. */
    kj::Promise<void> release(const core::identity::NetworkAddress &peer,
                              const core::identity::IdempotencyKey &key,
                              const core::identity::NodeId &claimant);

    //==============================================================================
    /** Returns the answer to an exchange; rejects when the peer can not be reached in time. */
    kj::Promise<control::distribution::Exchange>
    exchange(const core::identity::NetworkAddress &peer,
             const control::distribution::Exchange &request);

    /** Returns the revision that the peer holds after a push. */
    kj::Promise<core::identity::Revision>
    pushIntent(const core::identity::NetworkAddress &peer, const core::identity::NodeId &sender,
               const control::distribution::IntentTransfer &transfer);

    /** Returns the peer's intent. */
    kj::Promise<control::distribution::IntentTransfer>
    fetchIntent(const core::identity::NetworkAddress &peer, core::identity::Revision have);

    /** Returns the peer's members that differ. */
    kj::Promise<std::vector<control::membership::MemberRecord>>
    fetchMembers(const core::identity::NetworkAddress &peer,
                 const control::membership::MemberTable::BucketHashes &hashes);

private:
    class Link;

    kj::Promise<wire::schema::Peer::Client> connect(const core::identity::NetworkAddress &peer);
    kj::Promise<kj::Own<kj::AsyncIoStream>> open(const core::identity::NetworkAddress &address);
    void dropLink(const std::string &address, const Link *link);
    void recordResponse(const core::identity::NetworkAddress &peer);
    void dropIfUnresponsive(const core::identity::NetworkAddress &peer, kj::TimePoint since);
    kj::Promise<void> closeIdleLinks();
    void taskFailed(kj::Exception &&exception) override;

    // Bounds a control request in time and counts its bytes.
    template <typename Results, typename Request, typename Read>
    auto control(const core::identity::NetworkAddress &peer, Request makeRequest, Read read);

    kj::Network &network_;
    kj::Timer &timer_;
    EncodingSelector encodingFor_;
    LinkCounters counters_;
    std::map<std::string, kj::Own<Link>> links_;
    wire::TextCompressor compressor_;
    kj::TaskSet tasks_;
};

} // namespace boragetrack::transport::links
