/** What a node reports of itself. */
#pragma once

#include "core/identity/Revision.h"

#include <nlohmann/json.hpp>
#include <string>

namespace boragetrack::operators::fleet {

/** Holds one node's status, or the fact that it did not answer. */
struct NodeReport
{
    std::string node;
    std::string dataCentre;
    bool isReached = false;
    core::identity::Revision revision;
    /** The node's whole status. */
    nlohmann::json status;
};

} // namespace boragetrack::operators::fleet
