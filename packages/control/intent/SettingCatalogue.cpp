/** Lists the settings with their bounds. */
#include "control/intent/SettingCatalogue.h"

#include <array>

namespace boragetrack::control::intent {

namespace {

template <int EffectiveSettings::*Member>
constexpr SettingDescriptor countSetting(const char *name, int minimum, int maximum)
{
    return SettingDescriptor{
            name, minimum, maximum,
            [](const EffectiveSettings &settings) { return settings.*Member; },
            [](EffectiveSettings &settings, int value) { settings.*Member = value; }};
}

constexpr SettingDescriptor callTimeoutSetting{
        "callTimeoutMs", 10, 60000,
        [](const EffectiveSettings &settings) {
            return static_cast<int>(settings.callTimeout.count());
        },
        [](EffectiveSettings &settings, int value) {
            settings.callTimeout = std::chrono::milliseconds(value);
        }};

constexpr std::array catalogue{
        countSetting<&EffectiveSettings::attemptLimit>("attemptLimit", 1, 5),
        callTimeoutSetting,
        countSetting<&EffectiveSettings::concurrencyLimit>("concurrencyLimit", 1, 110),
        countSetting<&EffectiveSettings::queueLimit>("queueLimit", 0, 10000),
        countSetting<&EffectiveSettings::retryBudgetPercent>("retryBudgetPercent", 0, 100),
        countSetting<&EffectiveSettings::startConcurrency>("startConcurrency", 1, 110),
};

} // namespace

std::span<const SettingDescriptor> settingCatalogue()
{
    return catalogue;
}

const SettingDescriptor *findSetting(const std::string &name)
{
    for (const SettingDescriptor &entry : catalogue) {
        if (name == entry.name)
            return &entry;
    }
    return nullptr;
}

} // namespace boragetrack::control::intent
