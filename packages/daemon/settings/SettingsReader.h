/** Parsing and validation of a node's settings. */
#pragma once

#include "core/findings/FindingList.h"
#include "daemon/settings/NodeSettings.h"

#include <optional>
#include <string>

namespace boragetrack::daemon::settings {

/** Parses settings from JSON text.
    @returns the settings, or nothing if findings were added */
std::optional<NodeSettings> readSettings(const std::string &text,
                                         core::findings::FindingList &findings);

/** Reads settings from a file.
    @returns the settings, or nothing if findings were added or the file cannot be opened */
std::optional<NodeSettings> readSettingsFile(const std::string &path,
                                             core::findings::FindingList &findings);

} // namespace boragetrack::daemon::settings
