/** The organisation that a key belongs to. */
#pragma once

#include "core/identity/OrganisationName.h"

#include <optional>

namespace boragetrack::traffic::access {

/** Names an organisation and the priority of its requests. */
struct KeyOwner
{
    core::identity::OrganisationName organisation;
    /** Takes the place of the route's priority; nothing if the route's applies. */
    std::optional<int> priority;
};

} // namespace boragetrack::traffic::access
