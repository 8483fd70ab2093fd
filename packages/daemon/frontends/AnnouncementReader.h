/** Reads an upstream's announcement. */
#pragma once

#include "core/findings/FindingList.h"
#include "transport/serving/UpstreamStatus.h"

#include <optional>
#include <string>

namespace boragetrack::daemon::frontends {

/** Reads an announcement.
    @param host the VM's own address, beside which the upstream must run
    @returns the upstream's status, or nothing when findings were added */
std::optional<transport::serving::UpstreamStatus>
readAnnouncement(const std::string &text, const std::string &host,
                 core::findings::FindingList &findings);

} // namespace boragetrack::daemon::frontends
