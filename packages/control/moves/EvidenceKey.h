/** Key of the evidence about a move. */
#pragma once

#include "core/identity/NodeId.h"
#include "core/identity/RouteName.h"
#include "core/identity/VersionName.h"

#include <compare>
#include <cstdint>
#include <string>

namespace boragetrack::control::moves {

/** Identifies the counts of one process for one route and version of a move. */
struct EvidenceKey
{
    std::string moveId;
    core::identity::RouteName route;
    core::identity::VersionName version;
    core::identity::NodeId node;
    /** Start of the counting process; a restart begins new counts under a later generation. */
    std::uint64_t generation = 0;

    friend auto operator<=>(const EvidenceKey &, const EvidenceKey &) = default;
};

} // namespace boragetrack::control::moves
