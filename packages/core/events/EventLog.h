/** Structured log events with numeric codes. */
#pragma once

#include "core/events/EventCode.h"
#include "core/events/EventField.h"

#include <initializer_list>
#include <string_view>

namespace boragetrack::core::events {

/** Writes an event as a line to standard output. Does not block: a line that cannot be written
    immediately is dropped. @see eventLine */
void logEvent(EventCode code, std::string_view message,
              std::initializer_list<EventField> fields = {});

/** Writes an event that occurs for each call, subject to a rate limit; lines beyond it are counted
    and suppressed. @param isSuccess whether the call succeeded; successful calls and all others
    have separate limits */
void logCall(EventCode code, std::string_view message, bool isSuccess,
             std::initializer_list<EventField> fields);

/** Writes an event like logCall(), for a call on a route that a change has just touched: a small
    number of these is written beyond the limits. */
void logCallOnChangedRoute(EventCode code, std::string_view message, bool isSuccess,
                           std::initializer_list<EventField> fields);

/** Writes how many lines were suppressed since the last call, unless there were none, and how many
    were dropped since the start of the process. */
void logSuppressedLines();

/** Directs the log of libraries, which use glog, to standard error. Must be called once, at the
    start of the program. */
void startLogging(const char *programName);

} // namespace boragetrack::core::events
