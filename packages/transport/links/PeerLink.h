/** One link to a peer. */
#pragma once

#include "transport/wire/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <chrono>
#include <functional>
#include <kj/async-io.h>
#include <kj/refcount.h>
#include <kj/timer.h>

namespace boragetrack::transport::links {

/** A connection that is being opened or is open, and its RPC client. */
class PeerLink : public kj::Refcounted
{
public:
    /** Called when the link gets no further requests, because it failed or its peer is about to
        close it; must not destroy the link. May be called several times. */
    using EndHandler = std::function<void(const PeerLink *)>;

    /** Maximum time for a peer to answer on a new link. */
    static constexpr std::chrono::milliseconds answerTimeout{1000};

    PeerLink(kj::Promise<kj::Own<kj::AsyncIoStream>> connecting, kj::Timer &timer,
             EndHandler whenEnded);

    /** Returns a promise for the peer's first answer, which must not outlive the link. */
    kj::Promise<void> whenReady() { return ready_.addBranch(); }

    /** Returns whether the peer has answered on this link. */
    bool isOpen() const { return isOpen_; }

    // The bootstrap capability is requested once, since each request for it costs two messages.
    wire::schema::Peer::Client peer() { return peer_; }

    void recordUse(kj::TimePoint now) { lastUse_ = now; }
    kj::TimePoint lastUse() const { return lastUse_; }

    void recordResponse(kj::TimePoint now) { lastResponse_ = now; }
    kj::TimePoint lastResponse() const { return lastResponse_; }

private:
    void open(kj::Own<kj::AsyncIoStream> stream);
    kj::Promise<void> awaitClosing();

    EndHandler whenEnded_;
    bool isOpen_ = false;
    // Members are destroyed in reverse order: the client before the stream that it uses.
    kj::Own<kj::AsyncIoStream> stream_;
    kj::Own<capnp::TwoPartyClient> client_;
    wire::schema::Peer::Client peer_ = nullptr;
    kj::Promise<void> closing_ = nullptr;
    kj::Promise<void> disconnected_ = nullptr;
    kj::ForkedPromise<void> ready_;
    kj::TimePoint lastUse_ = kj::origin<kj::TimePoint>();
    kj::TimePoint lastResponse_ = kj::origin<kj::TimePoint>();
};

} // namespace boragetrack::transport::links
