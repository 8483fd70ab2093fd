/** What the access check needs to know of a request. */
#pragma once

#include "control/intent/Route.h"
#include "core/identity/OrganisationName.h"

#include <optional>
#include <string>
#include <vector>

namespace boragetrack::traffic::access {

/** Describes a request whose route has been found; does not own what it refers to. */
struct AccessRequest
{
    const control::intent::Route &route;
    /** The values of all Authorization fields, in the order received. */
    std::vector<std::string> authorizations{};
    /** Whether the request's identifier has the form of a nested call's. */
    bool hasNestedForm = false;
    /** The organisation of the request that makes this call, empty if it has none; nothing unless
        that request is running at this node's upstream. */
    std::optional<core::identity::OrganisationName> parentOrganisation{};
    /** Whether the keys of the intent in force may be relied on. @see KeyFreshness */
    bool areKeysCurrent = true;
};

} // namespace boragetrack::traffic::access
