/** One fault found in an input. */
#pragma once

#include "core/findings/Place.h"

#include <string>

namespace boragetrack::core::findings {

/** States one fault and where it stands. */
struct Finding
{
    Place place;
    std::string message;

    /** Returns the finding as one line: "place: message". */
    std::string toString() const { return place.toString() + ": " + message; }
};

} // namespace boragetrack::core::findings
