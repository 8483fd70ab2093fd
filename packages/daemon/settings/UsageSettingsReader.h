/** Parsing of the settings of usage reports. */
#pragma once

#include "core/findings/FindingList.h"
#include "daemon/settings/NodeInterface.h"
#include "daemon/settings/UsageReportSettings.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace boragetrack::daemon::settings {

/** Reads the section "usageReports".
    @param root settings that fulfil the schema
    @returns nothing without the section, if the list "duties" does not have "usage" in it, or if
    findings were added */
std::optional<UsageReportSettings> readUsageReports(const nlohmann::json &root,
                                                    NodeInterface interface,
                                                    core::findings::FindingList &findings);

} // namespace boragetrack::daemon::settings
