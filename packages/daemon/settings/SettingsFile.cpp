/** Remembers the last text that was read, so that invalid settings are logged only once. */
#include "daemon/settings/SettingsFile.h"

#include "core/events/EventLog.h"
#include "core/findings/TextFile.h"
#include "daemon/settings/SettingsReader.h"

namespace boragetrack::daemon::settings {

using core::events::EventCode;

std::optional<NodeSettings> SettingsFile::readIfChanged()
{
    auto text = core::findings::readTextFile(path_);
    if (!text || *text == text_)
        return std::nullopt;
    text_ = std::move(*text);
    core::findings::FindingList findings(path_);
    auto settings = readSettings(text_, findings);
    if (settings)
        core::events::logEvent(EventCode::SettingsReloaded, "settings reloaded", {{"path", path_}});
    else
        core::events::logEvent(EventCode::SettingsRefused, "changed settings refused",
                               {{"findings", findings.toString()}});
    return settings;
}

} // namespace boragetrack::daemon::settings
