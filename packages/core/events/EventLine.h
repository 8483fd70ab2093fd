/** The text form of log events. */
#pragma once

#include "core/events/EventCode.h"
#include "core/events/EventField.h"
#include "core/timing/WallTime.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace boragetrack::core::events {

/** Returns an event as a line "<time> <level> E<code> <message> key=value ..." without a line feed.
    Values that are empty or contain spaces, quotes, equals signs or line feeds are quoted. */
std::string eventLine(timing::WallTime time, EventCode code, std::string_view message,
                      std::initializer_list<EventField> fields);

} // namespace boragetrack::core::events
