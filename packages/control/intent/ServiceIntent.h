/** What operators say of a service. */
#pragma once

#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"

#include <chrono>
#include <string>

namespace boragetrack::control::intent {

/** Names a service and what its upstreams bear. */
struct ServiceIntent
{
    core::identity::ServiceName name;
    /** The version that serves while no move runs; empty when any version may. */
    core::identity::VersionName version;
    /** The path of the upstreams' health endpoint; empty when they have none. */
    std::string healthPath{};
    /** Connections that one upstream accepts from all callers; zero when not given. */
    int connectionLimit = 0;
    /** How long an upstream is cold after its start; zero when not given. */
    std::chrono::milliseconds coldTime{0};
    /** Requests a second that a cold upstream bears; zero when not given. */
    double coldRate = 0.0;
};

} // namespace boragetrack::control::intent
