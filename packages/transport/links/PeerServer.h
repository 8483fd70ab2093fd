/** The server side of links between nodes. */
#pragma once

#include "transport/links/CallServer.h"
#include "transport/links/PeerRequestHandler.h"
#include "transport/wire/TextCompressor.h"
#include "transport/wire/peer.capnp.h"

namespace boragetrack::transport::links {

/** Decodes requests of other nodes and hands them on; one object serves all links. */
class PeerServer final : public wire::schema::Peer::Server
{
public:
    /** @param control and @param calls outlive the server */
    PeerServer(PeerRequestHandler &control, CallServer &calls)
        : control_(control)
        , calls_(calls)
    {}

    kj::Promise<void> call(CallContext context) override;
    kj::Promise<void> exchange(ExchangeContext context) override;
    kj::Promise<void> pushIntent(PushIntentContext context) override;
    kj::Promise<void> fetchIntent(FetchIntentContext context) override;
    kj::Promise<void> fetchMembers(FetchMembersContext context) override;
    kj::Promise<void> claim(ClaimContext context) override;
    kj::Promise<void> release(ReleaseContext context) override;

private:
    PeerRequestHandler &control_;
    CallServer &calls_;
    wire::TextCompressor compressor_;
};

} // namespace boragetrack::transport::links
