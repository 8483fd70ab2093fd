/** Parsing of an upstream's announcement in the native interface. */
#pragma once

#include "core/findings/FindingList.h"
#include "transport/serving/UpstreamStatus.h"

#include <optional>
#include <string>

namespace boragetrack::daemon::frontends {

/** Parses and validates an announcement.
    @param host the address of this VM, on which the upstream must run
    @returns the upstream's status, or nothing if findings were added */
std::optional<transport::serving::UpstreamStatus>
readAnnouncement(const std::string &text, const std::string &host,
                 core::findings::FindingList &findings);

} // namespace boragetrack::daemon::frontends
