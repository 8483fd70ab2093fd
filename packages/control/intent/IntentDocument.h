/** The content of the intent, as written by operators. */
#pragma once

#include "control/intent/CallerLimits.h"
#include "control/intent/DataCentreIntent.h"
#include "control/intent/EffectiveSettings.h"
#include "control/intent/IntentException.h"
#include "control/intent/MoveIntent.h"
#include "control/intent/Organisation.h"
#include "control/intent/Route.h"
#include "control/intent/ServiceIntent.h"
#include "core/identity/IntentNumber.h"

#include <optional>
#include <vector>

namespace boragetrack::control::intent {

/** Contains a validated document. */
struct IntentDocument
{
    /** The operators' number of the intent; zero where they give none. */
    core::identity::IntentNumber number;
    // Invariant: names are unique within each list, every reference refers to an element of the
    // document, and a service has at most one running move.
    std::vector<DataCentreIntent> dataCentres;
    std::vector<ServiceIntent> services;
    std::vector<Route> routes;
    EffectiveSettings defaults;
    CallerLimits callerLimits;
    std::vector<IntentException> exceptions;
    std::vector<MoveIntent> moves;
    /** The organisations whose keys requests need, unless their route is public; nothing if
        requests need no key. */
    std::optional<std::vector<Organisation>> organisations;
};

} // namespace boragetrack::control::intent
