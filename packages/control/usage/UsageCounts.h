/** Numbers of requests by organisation. */
#pragma once

#include "core/identity/OrganisationName.h"

#include <cstdint>
#include <map>

namespace boragetrack::control::usage {

/** The requests of each organisation that began to run in a window; organisations without any are
    left out. */
using UsageCounts = std::map<core::identity::OrganisationName, std::uint64_t>;

} // namespace boragetrack::control::usage
