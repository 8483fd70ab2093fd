/** Server side of the links between nodes. */
#pragma once

#include "transport/links/CallServer.h"
#include "transport/links/ClosingNotice.h"
#include "transport/links/LinkOutput.h"
#include "transport/links/PeerRequestHandler.h"
#include "transport/wire/TextCompressor.h"
#include "transport/wire/peer.capnp.h"

#include <memory>

namespace boragetrack::transport::links {

/** Implements the Peer interface of the schema: decodes requests, passes them to their handlers and
    encodes the responses. */
class PeerServer final : public wire::schema::Peer::Server
{
public:
    /** @param control, @param calls and @param closing outlive the server
        @param output of the link that the object serves; null to count nothing */
    PeerServer(PeerRequestHandler &control, CallServer &calls, ClosingNotice &closing,
               std::shared_ptr<LinkOutput> output = nullptr)
        : control_(control)
        , calls_(calls)
        , closing_(closing)
        , output_(std::move(output))
    {}

    kj::Promise<void> call(CallContext context) override;
    kj::Promise<void> exchange(ExchangeContext context) override;
    kj::Promise<void> pushIntent(PushIntentContext context) override;
    kj::Promise<void> fetchIntent(FetchIntentContext context) override;
    kj::Promise<void> fetchMembers(FetchMembersContext context) override;
    kj::Promise<void> claim(ClaimContext context) override;
    kj::Promise<void> release(ReleaseContext context) override;
    kj::Promise<void> awaitClosing(AwaitClosingContext context) override;
    kj::Promise<void> reportUsage(ReportUsageContext context) override;

private:
    PeerRequestHandler &control_;
    CallServer &calls_;
    ClosingNotice &closing_;
    std::shared_ptr<LinkOutput> output_;
    wire::TextCompressor compressor_;
};

} // namespace boragetrack::transport::links
