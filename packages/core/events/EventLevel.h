/** Severity of the log events. */
#pragma once

#include "core/events/EventCode.h"

#include <string_view>

namespace boragetrack::core::events {

/** Tells how much attention an event needs. */
enum class EventLevel {
    /** Part of ordinary operation. */
    Info,
    /** A fault that this node copes with, or that may affect single calls. */
    Warning,
    /** A fault that somebody has to correct. */
    Error,
};

/** Returns the level of an event; all lines of one code have the same. */
EventLevel levelOf(EventCode code);

/** Returns the name that log lines give a level. */
std::string_view nameOf(EventLevel level);

} // namespace boragetrack::core::events
