/** Reloading of the settings file of a running node. */
#pragma once

#include "daemon/settings/NodeSettings.h"

#include <optional>
#include <string>

namespace boragetrack::daemon::settings {

/** Detects changes of the file by comparing its text. */
class SettingsFile
{
public:
    /** @param text the content of the file when the node started */
    SettingsFile(std::string path, std::string text)
        : path_(std::move(path))
        , text_(std::move(text))
    {}

    /** Returns the settings if the file has changed and is valid; logs a reload or the findings. */
    std::optional<NodeSettings> readIfChanged();

private:
    std::string path_;
    std::string text_;
};

} // namespace boragetrack::daemon::settings
