/** Counters of the traffic between nodes. */
#pragma once

#include "core/counters/CounterRegistry.h"

namespace boragetrack::transport::links {

/** Counts the bytes of all links as transmitted, and the bytes of control messages before
    framing and compression. */
struct LinkCounters
{
    explicit LinkCounters(core::counters::CounterRegistry &registry)
        : controlBytesSent(registry.counter("control_bytes_sent"))
        , controlBytesReceived(registry.counter("control_bytes_received"))
        , controlMessagesSent(registry.counter("control_messages_sent"))
        , linkBytesSent(registry.counter("link_bytes_sent"))
        , linkBytesReceived(registry.counter("link_bytes_received"))
        , linksOpened(registry.counter("links_opened"))
        , linksGivenUp(registry.counter("links_given_up"))
    {}

    core::counters::Counter &controlBytesSent;
    core::counters::Counter &controlBytesReceived;
    core::counters::Counter &controlMessagesSent;
    core::counters::Counter &linkBytesSent;
    core::counters::Counter &linkBytesReceived;
    core::counters::Counter &linksOpened;
    /** Links that were replaced because they did not respond. */
    core::counters::Counter &linksGivenUp;
};

} // namespace boragetrack::transport::links
