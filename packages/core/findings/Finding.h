/** A single problem found in an input. */
#pragma once

#include "core/findings/Location.h"

#include <string>

namespace boragetrack::core::findings {

/** Describes a problem and its location. */
struct Finding
{
    Location location;
    std::string message;

    /** Returns the finding as one line: "location: message". */
    std::string toString() const { return location.toString() + ": " + message; }
};

} // namespace boragetrack::core::findings
