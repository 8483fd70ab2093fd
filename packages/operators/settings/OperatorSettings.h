/** Settings file of the command line. */
#pragma once

#include "core/findings/FindingList.h"
#include "core/identity/NetworkAddress.h"

#include <optional>
#include <string>
#include <vector>

namespace boragetrack::operators::settings {

/** Contains validated settings. */
struct OperatorSettings
{
    /** The author that changes are recorded with. */
    std::string operatorName;
    /** The bearer token that nodes require. */
    std::string operatorToken;
    /** The address of the platform's key-value service. */
    core::identity::NetworkAddress platform;
    /** Operator addresses of at least one node; the first that responds supplies the members. */
    std::vector<core::identity::NetworkAddress> nodes;
};

/** Reads settings from a JSON file.
    @param path the file
    @param findings receives each error of the file
    @returns the settings, or nothing if findings were added */
std::optional<OperatorSettings> readOperatorSettings(const std::string &path,
                                                     core::findings::FindingList &findings);

} // namespace boragetrack::operators::settings
