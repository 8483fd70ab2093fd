/** The settings of the command line. */
#pragma once

#include "core/findings/FindingList.h"
#include "core/identity/NetworkAddress.h"

#include <optional>
#include <string>
#include <vector>

namespace boragetrack::operators::settings {

/** Holds the command line's settings after validation. */
struct OperatorSettings
{
    /** The name under which changes are recorded. */
    std::string operatorName;
    std::string operatorToken;
    core::identity::NetworkAddress platform;
    /** Operators' listeners of some nodes; the others are learned from them. */
    std::vector<core::identity::NetworkAddress> nodes;
};

/** Reads settings from a file. @returns the settings, or nothing when findings were added */
std::optional<OperatorSettings> readOperatorSettings(const std::string &path,
                                                     core::findings::FindingList &findings);

} // namespace boragetrack::operators::settings
