/** The counters of pipelined requests. */
#pragma once

#include "core/counters/CounterRegistry.h"

namespace boragetrack::transport::http {

/** Counts the requests that run beside an earlier one of their connection. */
struct PipelineCounters
{
    /** @param registry outlives the counters */
    explicit PipelineCounters(core::counters::CounterRegistry &registry)
        : requests(registry.counter("pipelined_requests"))
        , cancelled(registry.counter("pipelined_requests_cancelled"))
    {}

    /** The requests that started before all earlier ones were answered. */
    core::counters::Counter &requests;
    /** The requests that were cancelled because a response before theirs closed the connection. */
    core::counters::Counter &cancelled;
};

} // namespace boragetrack::transport::http
