/** Computes the effective settings of routes from the intent. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "control/intent/SettingResolution.h"

namespace boragetrack::control::intent {

/** Resolves settings for the nodes of one data centre at one point in time. */
class SettingResolver
{
public:
    /** @param document must outlive the resolver */
    SettingResolver(const IntentDocument &document, core::identity::DataCentreId dataCentre,
                    core::timing::WallTime now)
        : document_(document)
        , dataCentre_(std::move(dataCentre))
        , now_(now)
    {}

    /** Returns all settings of a route. */
    EffectiveSettings resolve(const Route &route) const;

    /** Returns the value of one setting of a route with its origin.
        @param setting a name from the catalogue of settings */
    SettingResolution explain(const Route &route, const std::string &setting) const;

private:
    // Returns the defaults, overridden by the route's values.
    EffectiveSettings routeValues(const Route &route) const;

    // Returns the unexpired exceptions for the setting that cover the route, the winner first.
    std::vector<const IntentException *> applicableExceptions(const Route &route,
                                                              const std::string &setting) const;

    const IntentDocument &document_;
    core::identity::DataCentreId dataCentre_;
    core::timing::WallTime now_;
};

} // namespace boragetrack::control::intent
