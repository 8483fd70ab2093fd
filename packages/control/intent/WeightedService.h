/** A part of a route's traffic. */
#pragma once

#include "core/identity/ServiceName.h"

namespace boragetrack::control::intent {

/** Gives a service its share of a route that divides its calls. */
struct WeightedService
{
    core::identity::ServiceName service;
    /** Relative to the sum of the route's weights; not negative. */
    double weight = 0.0;
};

} // namespace boragetrack::control::intent
