/** Accepts connections up to the limit; tries again after a delay when the limit is reached or
    accepting fails. */
#include "transport/http/ServerListener.h"

#include "core/counters/ScopedCount.h"
#include "core/events/EventLog.h"

namespace boragetrack::transport::http {

namespace {
// Delay before accepting again when all connections are in use or accepting failed.
constexpr kj::Duration acceptRetryDelay = 20 * kj::MILLISECONDS;
} // namespace

absl::Status ServerListener::listen(const core::identity::NetworkAddress &address,
                                    kj::WaitScope &scope)
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

void ServerListener::stopAccepting()
{
    accepting_ = nullptr;
    receiver_ = nullptr;
}

void ServerListener::beginAccepting()
{
    // A connection that waits already is accepted at once, and that may fail at once.
    accepting_ = kj::evalNow([this]() {
                     return acceptNext();
                 }).eagerlyEvaluate([this](kj::Exception &&exception) {
        core::events::logEvent(core::events::EventCode::ListenerFailed, "listener failed",
                               {{"error", exception.getDescription().cStr()}});
        // Accepting may fail for lack of file descriptors, so it is tried again.
        tasks_.add(timer_.afterDelay(acceptRetryDelay).then([this]() {
            if (receiver_.get() != nullptr)
                beginAccepting();
        }));
    });
}

kj::Promise<void> ServerListener::acceptNext()
{
    if (connections_ >= limit_.current())
        return timer_.afterDelay(acceptRetryDelay).then([this]() { return acceptNext(); });
    return receiver_->accept().then([this](kj::Own<kj::AsyncIoStream> &&stream) {
        serve(kj::mv(stream));
        return acceptNext();
    });
}

void ServerListener::serve(kj::Own<kj::AsyncIoStream> stream)
{
    auto connection = kj::heap<ServerConnection>(kj::mv(stream), handler_, timer_, budget_,
                                                 partialRequests_, counters_, memory_);
    auto running = connection->run();
    auto count = kj::heap<core::counters::ScopedCount>(connections_);
    tasks_.add(running.catch_([](kj::Exception &&exception) {
                          core::events::logCall(core::events::EventCode::ExchangeFailed,
                                                "exchange failed", false,
                                                {{"error", exception.getDescription().cStr()}});
                      })
                       .attach(kj::mv(connection))
                       .attach(kj::mv(count)));
}

void ServerListener::taskFailed(kj::Exception &&exception)
{
    core::events::logEvent(core::events::EventCode::InternalFault, "connection failed",
                           {{"error", exception.getDescription().cStr()}});
}

} // namespace boragetrack::transport::http
