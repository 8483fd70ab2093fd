/** The name of a service's version. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Names one version of a service as its upstreams announce it. */
using VersionName = StrongString<struct VersionNameTag>;

} // namespace boragetrack::core::identity
