/** Serves the counters of a process. */
#pragma once

#include "core/counters/CounterRegistry.h"
#include "transport/http/ExchangeHandler.h"

namespace boragetrack::transport::http {

/** Answers GET /metrics with one line for each counter. */
class MetricsHandler : public ExchangeHandler
{
public:
    /** @param counters outlives the handler */
    explicit MetricsHandler(const core::counters::CounterRegistry &counters)
        : counters_(counters)
    {}

    kj::Promise<void> handle(ServerExchange &exchange) override
    {
        if (exchange.head().target != "/metrics")
            return exchange.respond(ResponseHead{404, {}}, "unknown path\n");
        return exchange.respond(ResponseHead{200, {{"Content-Type", "text/plain"}}},
                                counters_.toText());
    }

private:
    const core::counters::CounterRegistry &counters_;
};

} // namespace boragetrack::transport::http
