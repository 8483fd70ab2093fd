/** A link ends with its connection or when its peer gives notice that it is about to close. */
#include "transport/links/PeerLink.h"

#include "transport/timing/Deadline.h"

namespace boragetrack::transport::links {

// The link is ready once its peer has answered: the peer's system may have accepted a connection
// that the peer never accepts, and what was sent on it has not run.
PeerLink::PeerLink(kj::Promise<kj::Own<kj::AsyncIoStream>> connecting, kj::Timer &timer,
                   EndHandler whenEnded)
    : whenEnded_(std::move(whenEnded))
    , ready_(connecting
                     .then([this, &timer](kj::Own<kj::AsyncIoStream> &&stream) {
                         open(kj::mv(stream));
                         return timing::resultWithin(timer,
                                                     answerTimeout.count() * kj::MILLISECONDS,
                                                     peer_.whenResolved());
                     })
                     .then([this]() { isOpen_ = true; })
                     .catch_([this](kj::Exception &&exception) -> kj::Promise<void> {
                         whenEnded_(this);
                         return kj::mv(exception);
                     })
                     .fork())
{}

void PeerLink::open(kj::Own<kj::AsyncIoStream> stream)
{
    stream_ = kj::mv(stream);
    client_ = kj::heap<capnp::TwoPartyClient>(*stream_);
    peer_ = client_->bootstrap().castAs<wire::schema::Peer>();
    closing_ = awaitClosing();
    disconnected_ = client_->onDisconnect()
                            .then([this]() { whenEnded_(this); })
                            .eagerlyEvaluate([](kj::Exception && /*exception*/) {
                                // Calls on the link report its failure.
                            });
}

// The failure of this request is the first sign that the link has failed. A peer of an earlier
// release rejects it as not implemented.
kj::Promise<void> PeerLink::awaitClosing()
{
    return peer_.awaitClosingRequest()
            .send()
            .ignoreResult()
            .then([this]() { whenEnded_(this); })
            .eagerlyEvaluate([this](kj::Exception &&exception) {
                if (exception.getType() == kj::Exception::Type::DISCONNECTED)
                    whenEnded_(this);
            });
}

} // namespace boragetrack::transport::links
