/** Among the exceptions for a setting, the most specific scope wins, then the latest creation time,
    then the higher id. Without an exception, the route's value overrides the default. */
#include "control/intent/SettingResolver.h"

#include "control/intent/SettingCatalogue.h"

#include <algorithm>
#include <tuple>

namespace boragetrack::control::intent {

EffectiveSettings SettingResolver::resolve(const Route &route) const
{
    EffectiveSettings settings = routeValues(route);
    // Saves time with the usual documents, which have no exceptions but may have thousands of
    // routes.
    if (document_.exceptions.empty())
        return settings;
    for (const SettingDescriptor &entry : settingCatalogue())
        entry.write(settings, explain(route, entry.name).value);
    return settings;
}

SettingResolution SettingResolver::explain(const Route &route, const std::string &setting) const
{
    const auto found = applicableExceptions(route, setting);
    if (found.empty()) {
        const SettingDescriptor *entry = findSetting(setting);
        const int value = entry->read(routeValues(route));
        const bool isRouteValue = value != entry->read(document_.defaults);
        return SettingResolution{setting, value, isRouteValue ? "route" : "default", "", ""};
    }
    SettingResolution resolution{setting, found.front()->value, found.front()->id,
                                 found.front()->reason, ""};
    for (std::size_t i = 1; i < found.size(); ++i)
        resolution.overridden += (i > 1 ? ", " : "") + found[i]->id;
    return resolution;
}

EffectiveSettings SettingResolver::routeValues(const Route &route) const
{
    EffectiveSettings settings = document_.defaults;
    settings.callTimeout = route.callTimeout.value_or(settings.callTimeout);
    settings.attemptLimit = route.attemptLimit.value_or(settings.attemptLimit);
    return settings;
}

std::vector<const IntentException *>
SettingResolver::applicableExceptions(const Route &route, const std::string &setting) const
{
    std::vector<const IntentException *> found;
    for (const IntentException &exception : document_.exceptions) {
        const bool isExpired = exception.expiresAt && *exception.expiresAt <= now_;
        if (exception.setting == setting && !isExpired
            && exception.scope.covers(route.service, route.name, dataCentre_))
            found.push_back(&exception);
    }
    const auto precedence = [](const IntentException *exception) {
        return std::make_tuple(exception->scope.specificity(), exception->createdAt, exception->id);
    };
    std::sort(found.begin(), found.end(),
              [&](const auto *a, const auto *b) { return precedence(a) > precedence(b); });
    return found;
}

} // namespace boragetrack::control::intent
