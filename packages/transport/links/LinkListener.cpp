/** Serves the peers' requests by RPC over the links that they open. */
#include "transport/links/LinkListener.h"

#include "core/counters/ScopedCount.h"
#include "core/events/EventLog.h"
#include "transport/links/LinkEncoding.h"
#include "transport/links/OutputStream.h"

#include <capnp/rpc-twoparty.h>

namespace boragetrack::transport::links {

using core::events::EventCode;
using core::identity::NetworkAddress;

namespace {

// Maximum size of a message from a peer; a call's body and headers must fit.
constexpr std::uint64_t maximumMessageWords = std::uint64_t{16} * 1024 * 1024 / sizeof(capnp::word);

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maximumMessageWords;
    return options;
}

} // namespace

absl::Status LinkListener::listen(const NetworkAddress &address, kj::WaitScope &scope)
{
    try {
        auto parsed = network_.parseAddress(address.toString()).wait(scope);
        receiver_ = parsed->listen();
    } catch (const kj::Exception &exception) {
        return absl::UnavailableError("cannot listen on " + address.toString() + ": "
                                      + exception.getDescription().cStr());
    }
    beginAccepting();
    return absl::OkStatus();
}

void LinkListener::beginAccepting()
{
    // A connection that waits already is accepted at once, and that may fail at once.
    accepting_ = kj::evalNow([this]() {
                     return acceptNext();
                 }).eagerlyEvaluate([this](kj::Exception &&exception) {
        core::events::logEvent(EventCode::ListenerFailed, "listener failed",
                               {{"error", exception.getDescription().cStr()}});
        // Accepting may fail for lack of file descriptors, so it is tried again.
        tasks_.add(timer_.afterDelay(acceptRetryDelay.count() * kj::MILLISECONDS).then([this]() {
            if (!isClosing_)
                beginAccepting();
        }));
    });
}

kj::Promise<bool> LinkListener::closeLinks(kj::TimePoint limit)
{
    // When the loop has nothing else to do, no accepted connection is on its way to serve().
    return kj::evalLast([this]() {
               isClosing_ = true;
               accepting_ = nullptr;
               return acceptWaiting();
           })
            .catch_([this](kj::Exception &&exception) { taskFailed(kj::mv(exception)); })
            .then([this, limit]() {
                receiver_ = nullptr;
                closing_.give();
                return whenLinksClosed(limit);
            });
}

kj::Promise<void> LinkListener::acceptNext()
{
    return receiver_->accept().then([this](kj::Own<kj::AsyncIoStream> &&stream) {
        serve(kj::mv(stream));
        return acceptNext();
    });
}

kj::Promise<void> LinkListener::acceptWaiting()
{
    auto accepted = receiver_->accept().then([this](kj::Own<kj::AsyncIoStream> &&stream) {
        serve(kj::mv(stream));
        return true;
    });
    return accepted.exclusiveJoin(kj::evalLast([]() { return false; }))
            .then([this](bool isAccepted) -> kj::Promise<void> {
                if (isAccepted)
                    return acceptWaiting();
                return kj::READY_NOW;
            });
}

kj::Promise<bool> LinkListener::whenLinksClosed(kj::TimePoint limit)
{
    if (openLinks_ == 0 || timer_.now() >= limit)
        return openLinks_ == 0;
    return timer_.afterDelay(closeCheckInterval.count() * kj::MILLISECONDS).then([this, limit]() {
        return whenLinksClosed(limit);
    });
}

void LinkListener::serve(kj::Own<kj::AsyncIoStream> accepted)
{
    auto count = kj::heap<core::counters::ScopedCount>(openLinks_);
    tasks_.add(negotiateAccepted(kj::mv(accepted), counters_)
                       .then([this](kj::Maybe<kj::Own<kj::AsyncIoStream>> &&negotiated)
                                     -> kj::Promise<void> {
                           KJ_IF_MAYBE (stream, negotiated)
                               return serveRpc(kj::mv(*stream));
                           return kj::READY_NOW;
                       })
                       .attach(kj::mv(count)));
}

kj::Promise<void> LinkListener::serveRpc(kj::Own<kj::AsyncIoStream> stream)
{
    auto output = std::make_shared<LinkOutput>(memory_);
    auto counted = kj::heap<OutputStream>(kj::mv(stream), *output);
    auto network = kj::heap<capnp::TwoPartyVatNetwork>(*counted, capnp::rpc::twoparty::Side::SERVER,
                                                       readerOptions());
    auto system = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(capnp::makeRpcServer(
            *network,
            wire::schema::Peer::Client(kj::heap<PeerServer>(control_, calls_, closing_, output))));
    auto closed = network->onDisconnect();
    // The RPC system must be destroyed first and the stream last. The objects are attached one
    // by one, since of several attachments in one call, the last is destroyed first.
    return closed.attach(kj::mv(system))
            .attach(kj::mv(network))
            .attach(kj::mv(counted))
            .attach(std::move(output));
}

void LinkListener::taskFailed(kj::Exception &&exception)
{
    core::events::logEvent(EventCode::PeerMessageRefused, "peer link failed",
                           {{"error", exception.getDescription().cStr()}});
}

} // namespace boragetrack::transport::links
