/** Reads and checks a node's settings. */
#pragma once

#include "core/findings/FindingList.h"
#include "daemon/settings/NodeSettings.h"

#include <optional>
#include <string>

namespace boragetrack::daemon::settings {

/** Reads settings from JSON text.
    @returns the settings, or nothing when findings were added */
std::optional<NodeSettings> readSettings(const std::string &text,
                                         core::findings::FindingList &findings);

/** Reads settings from a file. @returns the settings, or nothing when findings were added */
std::optional<NodeSettings> readSettingsFile(const std::string &path,
                                             core::findings::FindingList &findings);

} // namespace boragetrack::daemon::settings
