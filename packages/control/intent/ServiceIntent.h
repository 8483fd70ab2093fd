/** What operators say of a service. */
#pragma once

#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"

namespace boragetrack::control::intent {

/** Names a service and the version that serves it while no move runs. */
struct ServiceIntent
{
    core::identity::ServiceName name;
    core::identity::VersionName version;
};

} // namespace boragetrack::control::intent
