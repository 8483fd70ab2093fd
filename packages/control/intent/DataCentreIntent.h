/** A data centre's entry in the intent. */
#pragma once

#include "core/identity/DataCentreId.h"

#include <string>

namespace boragetrack::control::intent {

/** Specifies whether and how many calls the upstreams of a data centre get. */
struct DataCentreIntent
{
    core::identity::DataCentreId name;
    std::string region;
    /** Whether its upstreams get no new calls. */
    bool isOut = false;
    /** Share of new calls relative to its capacity, in percent. */
    int weightPercent = 100;
};

} // namespace boragetrack::control::intent
