/** Status of one node, as collected by FleetClient. */
#pragma once

#include "core/identity/Revision.h"

#include <nlohmann/json.hpp>
#include <string>

namespace boragetrack::operators::fleet {

/** Contains the status of a node, or the information that it did not respond. */
struct NodeReport
{
    std::string node;
    std::string dataCentre;
    /** Whether the node responded; if not, revision is zero and status null. */
    bool isReached = false;
    /** The revision that is in force on the node. */
    core::identity::Revision revision;
    /** The complete response to /v1/status. */
    nlohmann::json status;
};

} // namespace boragetrack::operators::fleet
