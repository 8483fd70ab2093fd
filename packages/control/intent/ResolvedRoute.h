/** A route with its settings resolved. */
#pragma once

#include "control/intent/EffectiveSettings.h"
#include "control/intent/Route.h"

namespace boragetrack::control::intent {

/** Joins a route to the settings that hold for it on this node. */
struct ResolvedRoute
{
    Route route;
    EffectiveSettings settings;
};

} // namespace boragetrack::control::intent
