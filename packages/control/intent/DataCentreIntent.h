/** What operators say of a data centre. */
#pragma once

#include "core/identity/DataCentreId.h"

#include <string>

namespace boragetrack::control::intent {

/** Names a data centre and whether its upstreams may get new work. */
struct DataCentreIntent
{
    core::identity::DataCentreId name;
    std::string region;
    bool isOut = false;
    /** Share of new work relative to its capacity, in percent. */
    int weightPercent = 100;
};

} // namespace boragetrack::control::intent
