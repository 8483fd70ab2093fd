/** An organisation's entry in the intent. */
#pragma once

#include "control/intent/KeyDigest.h"
#include "core/identity/OrganisationName.h"

#include <optional>
#include <vector>

namespace boragetrack::control::intent {

/** Names the keys by which requests belong to an organisation. */
struct Organisation
{
    core::identity::OrganisationName name;
    // Invariant: no key belongs to two organisations of an intent.
    std::vector<KeyDigest> keys;
    /** Takes the place of the route's priority for this organisation's requests; nothing if the
        route's applies. */
    std::optional<int> priority;
};

} // namespace boragetrack::control::intent
