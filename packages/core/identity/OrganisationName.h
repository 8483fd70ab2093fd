/** Identifier of a callers' organisation. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Identifies an organisation whose callers present a key of their own. */
using OrganisationName = StrongString<struct OrganisationNameTag>;

} // namespace boragetrack::core::identity
