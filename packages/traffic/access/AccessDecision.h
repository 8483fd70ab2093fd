/** The result of the access check of one request. */
#pragma once

#include "core/identity/OrganisationName.h"
#include "traffic/access/AccessVerdict.h"

#include <optional>
#include <string>

namespace boragetrack::traffic::access {

/** Holds the verdict and, for a request that is granted access, on whose behalf it runs. */
struct AccessDecision
{
    AccessVerdict verdict = AccessVerdict::Granted;
    /** Empty if the request belongs to no organisation. */
    core::identity::OrganisationName organisation{};
    /** Takes the place of the route's priority; nothing if the route's applies. */
    std::optional<int> priority{};
    /** Why access was not granted; never contains any part of a key. */
    std::string reason{};
};

} // namespace boragetrack::traffic::access
