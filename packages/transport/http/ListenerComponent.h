/** An HTTP listener as a component of the event loop. */
#pragma once

#include "transport/http/ServerListener.h"
#include "transport/links/LoopComponent.h"

#include <optional>

namespace boragetrack::transport::http {

/** Listens on an address while the traffic thread runs, and passes requests to a handler. */
class ListenerComponent : public links::LoopComponent
{
public:
    /** @param handler outlives the component */
    ListenerComponent(core::identity::NetworkAddress address, ExchangeHandler &handler)
        : address_(std::move(address))
        , handler_(handler)
    {}
    // Destructors of kj promises may throw, so the implicit destructor would have a looser
    // exception specification than that of the base.
    ~ListenerComponent() noexcept override = default;

    absl::Status start(links::LoopContext &context) override
    {
        listener_.emplace(context.network, context.timer, handler_);
        return listener_->listen(address_, context.scope);
    }

    void stop() override { listener_.reset(); }

private:
    core::identity::NetworkAddress address_;
    ExchangeHandler &handler_;
    std::optional<ServerListener> listener_;
};

} // namespace boragetrack::transport::http
