/** Client side of the links between nodes. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "control/membership/MemberTable.h"
#include "control/usage/UsageSnapshot.h"
#include "core/identity/IdempotencyKey.h"
#include "core/identity/NetworkAddress.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "transport/links/LinkCounters.h"
#include "transport/links/LinkEncoding.h"
#include "transport/links/PeerLink.h"
#include "transport/timing/PreciseTimer.h"
#include "transport/wire/TextCompressor.h"

#include <chrono>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <map>

namespace boragetrack::transport::links {

/** Maintains one multiplexed link to each peer in use. A link on which the peer gives notice that
   it is about to close gets no further requests, and is closed after those in progress. Used on the
    traffic thread only. */
class PeerLinks final : private kj::TaskSet::ErrorHandler
{
public:
    /** Maximum time to open a link, and for a claim or its release as a whole. */
    static constexpr std::chrono::milliseconds connectTimeout{250};
    /** Maximum time for a control request as a whole. */
    static constexpr std::chrono::milliseconds controlTimeout{1000};
    /** Time without a request after which a link is closed. A compressed link takes some 60 KB at
        each end. */
    static constexpr std::chrono::seconds idleTimeout{20};

    /** Returns the encoding for a new link to an address. */
    using EncodingSelector = std::function<LinkEncoding(const core::identity::NetworkAddress &)>;

    /** Handles that the connection of an open link has ended, as it does when the peer's process
        ends. */
    using DisconnectHandler = std::function<void(const core::identity::NetworkAddress &)>;

    /** @param network and @param timer outlive the links
        @param whenDisconnected called in a turn of the event loop of its own; empty for none */
    PeerLinks(kj::Network &network, timing::PreciseTimer &timer, EncodingSelector encodingFor,
              LinkCounters counters, DisconnectHandler whenDisconnected = {});
    ~PeerLinks() noexcept(false);

    //==============================================================================
    /** Sends a call and returns its response; never rejects. */
    kj::Promise<traffic::calls::CallResponse> call(const core::identity::NetworkAddress &peer,
                                                   const traffic::calls::CallRequest &request);

    /** Asks a registrar to claim a key. @returns the holder of the claim; rejects with
        DISCONNECTED if the connection was refused or broke, with OVERLOADED after the timeout */
    kj::Promise<core::identity::NodeId> claim(const core::identity::NetworkAddress &peer,
                                              const core::identity::IdempotencyKey &key,
                                              const core::identity::NodeId &claimant);

    /** Asks a registrar to release a claim. */
    kj::Promise<void> release(const core::identity::NetworkAddress &peer,
                              const core::identity::IdempotencyKey &key,
                              const core::identity::NodeId &claimant);

    //==============================================================================
    /** Sends an exchange and returns the response; rejects without one within controlTimeout. */
    kj::Promise<control::distribution::Exchange>
    exchange(const core::identity::NetworkAddress &peer,
             const control::distribution::Exchange &request);

    /** Pushes an intent and returns the peer's revision after it. */
    kj::Promise<core::identity::Revision>
    pushIntent(const core::identity::NetworkAddress &peer, const core::identity::NodeId &sender,
               const control::distribution::IntentTransfer &transfer);

    /** Requests the peer's intent. @param have this node's revision */
    kj::Promise<control::distribution::IntentTransfer>
    fetchIntent(const core::identity::NetworkAddress &peer, core::identity::Revision have);

    /** Requests the peer's records in the buckets of the member table that differ.
        @param hashes of this node's buckets */
    kj::Promise<std::vector<control::membership::MemberRecord>>
    fetchMembers(const core::identity::NetworkAddress &peer,
                 const control::membership::MemberTable::BucketHashes &hashes);

    /** Sends counts and returns the last window that the peer knows as reported; rejects if the
        peer does not respond within controlTimeout, or does not know the request. */
    kj::Promise<control::usage::UsageWindow>
    reportUsage(const core::identity::NetworkAddress &peer,
                const control::usage::UsageSnapshot &snapshot);

private:
    // Returns the open link to a peer. A request in progress keeps its link alive by the reference,
    // since the link may be dropped from links_ meanwhile.
    kj::Promise<kj::Own<PeerLink>> connect(const core::identity::NetworkAddress &peer);
    kj::Promise<kj::Own<kj::AsyncIoStream>> open(const core::identity::NetworkAddress &address);
    void endLink(const core::identity::NetworkAddress &peer, const PeerLink *link, bool wasOpen);
    /** Removes a link unless another one has taken its place. @returns whether it was removed */
    bool dropLink(const std::string &address, const PeerLink *link);
    void handleFailedCall(const core::identity::NetworkAddress &peer, const PeerLink &link,
                          kj::TimePoint since, const kj::Exception &exception);
    /** Drops a link on which the peer has not responded since a time, at which a request began that
        has failed. */
    void giveUpIfSilent(const core::identity::NetworkAddress &peer, const PeerLink &link,
                        kj::TimePoint since);
    kj::Promise<void> closeIdleLinks();
    void taskFailed(kj::Exception &&exception) override;

    // Sends a control request with a timeout and counts its bytes.
    template <typename Results, typename Request, typename Read>
    auto sendControl(const core::identity::NetworkAddress &peer, Request makeRequest, Read read);

    kj::Network &network_;
    timing::PreciseTimer &timer_;
    EncodingSelector encodingFor_;
    LinkCounters counters_;
    DisconnectHandler whenDisconnected_;
    std::map<std::string, kj::Own<PeerLink>> links_;
    wire::TextCompressor compressor_;
    kj::TaskSet tasks_;
};

} // namespace boragetrack::transport::links
