/** The fields of a log event. */
#pragma once

#include <string>
#include <utility>

namespace boragetrack::core::events {

/** Key and value of one field of an event. */
using EventField = std::pair<const char *, std::string>;

} // namespace boragetrack::core::events
