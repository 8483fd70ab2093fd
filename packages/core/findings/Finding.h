/** One fault found in an input. */
#pragma once

#include "core/findings/Location.h"

#include <string>

namespace boragetrack::core::findings {

/** States one fault and where it stands. */
struct Finding
{
    Location location;
    std::string message;

    /** Returns the finding as one line: "location: message". */
    std::string toString() const { return location.toString() + ": " + message; }
};

} // namespace boragetrack::core::findings
