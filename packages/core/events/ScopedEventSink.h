/** Redirection of a thread's log events. */
#pragma once

#include "core/events/EventSink.h"

namespace boragetrack::core::events {

/** Directs the events that the constructing thread logs to a sink for the lifetime of this object.
    Simulations play many nodes in one process, whose events are not those of the process. */
class ScopedEventSink
{
public:
    /** @param sink must outlive this object */
    explicit ScopedEventSink(EventSink &sink);
    ~ScopedEventSink();
    ScopedEventSink(const ScopedEventSink &) = delete;
    ScopedEventSink &operator=(const ScopedEventSink &) = delete;

    /** Returns the calling thread's sink, or null if its events go to standard output. */
    static EventSink *current();

private:
    EventSink *const previous_;
};

} // namespace boragetrack::core::events
