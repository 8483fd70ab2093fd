/** Scope of an exception from the default settings. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/RouteName.h"
#include "core/identity/ServiceName.h"

namespace boragetrack::control::intent {

/** Selects calls by service, route and data centre; an empty field matches all. */
struct ExceptionScope
{
    core::identity::ServiceName service;
    core::identity::RouteName route;
    core::identity::DataCentreId dataCentre;

    /** Returns whether the scope covers a route of a service on the nodes of a data centre. */
    bool covers(const core::identity::ServiceName &callService,
                const core::identity::RouteName &callRoute,
                const core::identity::DataCentreId &nodeDataCentre) const
    {
        return (service.isEmpty() || service == callService)
               && (route.isEmpty() || route == callRoute)
               && (dataCentre.isEmpty() || dataCentre == nodeDataCentre);
    }

    /** Returns the precedence of the scope; the exception with the highest value wins. A route
        counts more than a service, and a service more than a data centre. */
    int specificity() const
    {
        return (route.isEmpty() ? 0 : 4) + (service.isEmpty() ? 0 : 2)
               + (dataCentre.isEmpty() ? 0 : 1);
    }
};

} // namespace boragetrack::control::intent
