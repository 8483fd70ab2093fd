/** Resolves defaults and exceptions. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "control/intent/SettingResolution.h"

namespace boragetrack::control::intent {

/** Resolves the settings of routes as one data centre's nodes see them at one time. */
class SettingResolver
{
public:
    /** Keeps a reference to the document, which must outlive the resolver. */
    SettingResolver(const IntentDocument &document, core::identity::DataCentreId dataCentre,
                    core::timing::WallTime now)
        : document_(document)
        , dataCentre_(std::move(dataCentre))
        , now_(now)
    {}

    /** Returns all settings of a route. */
    EffectiveSettings resolve(const Route &route) const;

    /** Returns one setting of a route with its origin. @param setting a name of the catalogue */
    SettingResolution explain(const Route &route, const std::string &setting) const;

private:
    // Returns the defaults with the route's own values in their place.
    EffectiveSettings ownValues(const Route &route) const;

    // Returns the exceptions for the setting that cover the route now, the winner first.
    std::vector<const IntentException *> candidates(const Route &route,
                                                    const std::string &setting) const;

    const IntentDocument &document_;
    core::identity::DataCentreId dataCentre_;
    core::timing::WallTime now_;
};

} // namespace boragetrack::control::intent
