/** Interface of receivers of log events. */
#pragma once

#include "core/events/EventLog.h"

namespace boragetrack::core::events {

/** Receives log events in place of standard output; see ScopedEventSink. */
class EventSink
{
public:
    virtual ~EventSink() = default;

    /** Handles an event. */
    virtual void eventLogged(EventCode code, std::string_view message,
                             std::initializer_list<EventField> fields)
            = 0;
};

} // namespace boragetrack::core::events
