/** Element of a route that divides its calls among services. */
#pragma once

#include "core/identity/ServiceName.h"

namespace boragetrack::control::intent {

/** Specifies a service's share of the calls of a route. */
struct WeightedService
{
    core::identity::ServiceName service;
    /** The share, relative to the sum of the weights of the route; not negative. */
    double weight = 0.0;
};

} // namespace boragetrack::control::intent
