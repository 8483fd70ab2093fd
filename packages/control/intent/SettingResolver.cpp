/** Implements SettingResolver: the narrowest scope wins, then the latest, then the higher id. A
    route's own values go before the defaults and after any exception. */
#include "control/intent/SettingResolver.h"

#include "control/intent/SettingCatalogue.h"

#include <algorithm>
#include <tuple>

namespace boragetrack::control::intent {

EffectiveSettings SettingResolver::resolve(const Route &route) const
{
    EffectiveSettings settings = ownValues(route);
    // Most documents have no exceptions, and some have thousands of routes.
    if (document_.exceptions.empty())
        return settings;
    for (const SettingDescriptor &entry : settingCatalogue())
        entry.write(settings, explain(route, entry.name).value);
    return settings;
}

SettingResolution SettingResolver::explain(const Route &route, const std::string &setting) const
{
    const auto found = candidates(route, setting);
    if (found.empty()) {
        const SettingDescriptor *entry = findSetting(setting);
        const int value = entry->read(ownValues(route));
        const bool isOwn = value != entry->read(document_.defaults);
        return SettingResolution{setting, value, isOwn ? "route" : "default", "", ""};
    }
    SettingResolution resolution{setting, found.front()->value, found.front()->id,
                                 found.front()->reason, ""};
    for (std::size_t i = 1; i < found.size(); ++i)
        resolution.overridden += (i > 1 ? ", " : "") + found[i]->id;
    return resolution;
}

EffectiveSettings SettingResolver::ownValues(const Route &route) const
{
    EffectiveSettings settings = document_.defaults;
    settings.callTimeout = route.callTimeout.value_or(settings.callTimeout);
    settings.attemptLimit = route.attemptLimit.value_or(settings.attemptLimit);
    return settings;
}

std::vector<const IntentException *> SettingResolver::candidates(const Route &route,
                                                                 const std::string &setting) const
{
    std::vector<const IntentException *> found;
    for (const IntentException &exception : document_.exceptions) {
        const bool isExpired = exception.expiresAt && *exception.expiresAt <= now_;
        if (exception.setting == setting && !isExpired
            && exception.scope.covers(route.service, route.name, dataCentre_))
            found.push_back(&exception);
    }
    const auto rank = [](const IntentException *exception) {
        return std::make_tuple(exception->scope.specificity(), exception->createdAt, exception->id);
    };
    std::sort(found.begin(), found.end(),
              [&](const auto *a, const auto *b) { return rank(a) > rank(b); });
    return found;
}

} // namespace boragetrack::control::intent
