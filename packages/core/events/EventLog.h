/** Numbered, structured log events. */
#pragma once

#include "core/events/EventCode.h"

#include <initializer_list>
#include <string>
#include <utility>

namespace boragetrack::core::events {

/** Names one value that belongs to an event. */
using EventField = std::pair<const char *, std::string>;

/** Writes one event as a line "E<number> <message> key=value ..." through glog. */
void logEvent(EventCode code, const std::string &message,
              std::initializer_list<EventField> fields = {});

/** Sends all log lines to standard error; call once at the start of a program. */
void startLogging(const char *programName);

} // namespace boragetrack::core::events
