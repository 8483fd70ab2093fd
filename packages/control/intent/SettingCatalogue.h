/** Catalogue of the settings that operators can change by name. */
#pragma once

#include "control/intent/EffectiveSettings.h"

#include <span>
#include <string>

namespace boragetrack::control::intent {

/** Describes a setting: its name in the intent, its inclusive bounds and its accessors. */
struct SettingDescriptor
{
    const char *name;
    int minimum;
    int maximum;
    int (*read)(const EffectiveSettings &settings);
    void (*write)(EffectiveSettings &settings, int value);
};

/** Returns all settings, sorted by name. */
std::span<const SettingDescriptor> settingCatalogue();

/** Returns a setting by its name; null if there is none. */
const SettingDescriptor *findSetting(const std::string &name);

} // namespace boragetrack::control::intent
