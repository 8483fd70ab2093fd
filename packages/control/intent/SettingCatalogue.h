/** The settings that operators may set by name. */
#pragma once

#include "control/intent/EffectiveSettings.h"

#include <span>
#include <string>

namespace boragetrack::control::intent {

/** Describes one setting: its name in the intent, its bounds and where its value goes. */
struct SettingDescriptor
{
    const char *name;
    int minimum;
    int maximum;
    int (*read)(const EffectiveSettings &settings);
    void (*write)(EffectiveSettings &settings, int value);
};

/** Returns all settings, ordered by name. */
std::span<const SettingDescriptor> settingCatalogue();

/** Returns the setting of that name, or null. */
const SettingDescriptor *findSetting(const std::string &name);

} // namespace boragetrack::control::intent
