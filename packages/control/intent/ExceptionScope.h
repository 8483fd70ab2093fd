/** The part of the fleet that an exception covers. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/RouteName.h"
#include "core/identity/ServiceName.h"

namespace boragetrack::control::intent {

/** Selects by service, route and data centre; an empty field covers all. */
struct ExceptionScope
{
    core::identity::ServiceName service;
    core::identity::RouteName route;
    core::identity::DataCentreId dataCentre;

    /** Returns whether the scope covers the given route on the given node's data centre. */
    bool covers(const core::identity::ServiceName &ofService,
                const core::identity::RouteName &ofRoute,
                const core::identity::DataCentreId &ofDataCentre) const
    {
        return (service.isEmpty() || service == ofService) && (route.isEmpty() || route == ofRoute)
               && (dataCentre.isEmpty() || dataCentre == ofDataCentre);
    }

    /** Returns how narrow the scope is; a route counts more than a service, that more than a data
        centre, and the narrower scope wins. */
    int specificity() const
    {
        return (route.isEmpty() ? 0 : 4) + (service.isEmpty() ? 0 : 2)
               + (dataCentre.isEmpty() ? 0 : 1);
    }
};

} // namespace boragetrack::control::intent
