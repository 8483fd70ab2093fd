/** Division of a route's calls between versions. */
#pragma once

#include "core/identity/VersionName.h"

namespace boragetrack::control::moves {

/** Specifies the versions that may serve a route. */
struct RouteShare
{
    /** The version that gets all calls except the secondary's share. If empty, every version
        except the secondary and the excluded one is primary. */
    core::identity::VersionName primary;
    /** The second version that may serve; empty if there is none. */
    core::identity::VersionName secondary;
    /** The secondary version's share of the calls, in percent. */
    double secondaryPercent = 0.0;
    /** A version that must not serve; only needed when the primary version is empty. */
    core::identity::VersionName excluded{};

    /** Returns whether a version gets calls of the primary share. */
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
