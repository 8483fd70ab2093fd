/** Structured log events with numeric codes. */
#pragma once

#include "core/events/EventCode.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace boragetrack::core::events {

/** Key and value of one field of an event. */
using EventField = std::pair<const char *, std::string>;

/** Writes an event as a line "<time> E<code> <message> key=value ..." to standard output. Does not
    block: a line that cannot be written immediately is dropped. Values that are empty or contain
    spaces, quotes, equals signs or line feeds are quoted. */
void logEvent(EventCode code, std::string_view message,
              std::initializer_list<EventField> fields = {});

/** Writes an event that occurs for each call, subject to a rate limit; lines beyond it are counted
    and suppressed. @param isSuccess whether the call succeeded; successful calls and all others
    have separate limits */
void logCall(EventCode code, std::string_view message, bool isSuccess,
             std::initializer_list<EventField> fields);

/** Writes how many lines were suppressed since the last call, unless there were none, and how many
    were dropped since the start of the process. */
void logSuppressedLines();

/** Directs the log of libraries, which use glog, to standard error. Must be called once, at the
    start of the program. */
void startLogging(const char *programName);

} // namespace boragetrack::core::events
