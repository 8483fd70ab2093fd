/** The result of resolving a route for the nodes of a data centre. */
#pragma once

#include "control/intent/EffectiveSettings.h"
#include "control/intent/Route.h"

namespace boragetrack::control::intent {

/** Combines a route with its effective settings. */
struct ResolvedRoute
{
    Route route;
    EffectiveSettings settings;
};

} // namespace boragetrack::control::intent
