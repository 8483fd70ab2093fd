/** The settings file of a running node. */
#pragma once

#include "daemon/settings/NodeSettings.h"

#include <optional>
#include <string>

namespace boragetrack::daemon::settings {

/** Notices changes of the file, with or without a signal. */
class SettingsFile
{
public:
    /** @param text the text that the node started with */
    SettingsFile(std::string path, std::string text)
        : path_(std::move(path))
        , text_(std::move(text))
    {}

    /** Returns the settings if the file's text has changed and is valid; logs what was found. */
    std::optional<NodeSettings> readIfChanged();

private:
    std::string path_;
    std::string text_;
};

} // namespace boragetrack::daemon::settings
