/** How a route's calls divide between versions. */
#pragma once

#include "core/identity/VersionName.h"

namespace boragetrack::control::moves {

/** Names the versions that may serve a route now. */
struct RouteShare
{
    /** The version that gets all calls but the other's share; empty for every version that is
        neither the secondary nor the excluded one. */
    core::identity::VersionName primary;
    /** The other version that may serve; empty when there is none. */
    core::identity::VersionName secondary;
    /** The secondary version's share in percent. */
    double secondaryPercent = 0.0;
    /** A version that must not serve although no primary version is named; mostly empty. */
    core::identity::VersionName excluded{};

    /** Returns whether a version belongs to the primary share. */
    bool isPrimary(const core::identity::VersionName &version) const
    {
        if (primary.isEmpty())
            return version != secondary && version != excluded;
        return version == primary;
    }

    /** Returns whether a version is the secondary one. */
    bool isSecondary(const core::identity::VersionName &version) const
    {
        return !secondary.isEmpty() && version == secondary;
    }

    /** Returns whether a version may serve at all. */
    bool mayServe(const core::identity::VersionName &version) const
    {
        return isPrimary(version) || isSecondary(version);
    }
};

} // namespace boragetrack::control::moves
