/** Numbered, structured log events. */
#pragma once

#include "core/events/EventCode.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace boragetrack::core::events {

/** Names one value that belongs to an event. */
using EventField = std::pair<const char *, std::string>;

/** Writes one event as a line "<time> E<number> <message> key=value ..." to standard output. Never
    blocks; values with spaces are quoted. */
void logEvent(EventCode code, std::string_view message,
              std::initializer_list<EventField> fields = {});

/** Writes an event that comes with each call; lines beyond a budget a second are left out and
    counted. @param isOrdinary whether the call went well: such lines have a budget of their own */
void logCall(EventCode code, std::string_view message, bool isOrdinary,
             std::initializer_list<EventField> fields);

/** Writes how many lines were left out since the last call, if any were. */
void logSuppressedLines();

/** Sends the lines of libraries, which log through glog, to standard error; call once at the start
    of a program. */
void startLogging(const char *programName);

} // namespace boragetrack::core::events
