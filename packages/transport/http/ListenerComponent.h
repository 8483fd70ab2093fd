/** Serves HTTP on the traffic thread. */
#pragma once

#include "transport/http/ServerListener.h"
#include "transport/links/LoopComponent.h"

#include <optional>

namespace boragetrack::transport::http {

/** Listens on an address for as long as the traffic thread runs. */
class ListenerComponent : public links::LoopComponent
{
public:
    /** @param handler outlives the part */
    ListenerComponent(core::identity::NetworkAddress address, ExchangeHandler &handler)
        : address_(std::move(address))
        , handler_(handler)
    {}
    // Promises of kj may throw on destruction, which bases with plain destructors do not allow.
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
