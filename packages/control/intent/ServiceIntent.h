/** A service's entry in the intent. */
#pragma once

#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"

#include <chrono>
#include <string>

namespace boragetrack::control::intent {

/** Specifies the version of a service and the limits of its upstreams. */
struct ServiceIntent
{
    core::identity::ServiceName name;
    /** The version that serves while no move runs; if empty, any version may serve. */
    core::identity::VersionName version;
    /** The path of the upstreams' health endpoint; empty if they have none. */
    std::string healthPath{};
    /** Maximum number of connections of one upstream, from all callers; zero when not specified. */
    int connectionLimit = 0;
    /** How long an upstream is cold after its start; zero when not specified. */
    std::chrono::milliseconds coldTime{0};
    /** Maximum rate of requests at a cold upstream, per second; zero when not specified. */
    double coldRate = 0.0;
};

} // namespace boragetrack::control::intent
