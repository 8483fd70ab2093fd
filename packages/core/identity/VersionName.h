/** Identifier of a version of a service. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Identifies a version of a service, as its upstreams announce it. */
using VersionName = StrongString<struct VersionNameTag>;

} // namespace boragetrack::core::identity
