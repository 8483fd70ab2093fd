/** The upstream beside a node as its serving side needs it. */
#pragma once

#include "control/membership/UpstreamRecord.h"
#include "core/identity/NetworkAddress.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace boragetrack::transport::serving {

/** Describes the upstream and the process that runs it. */
struct UpstreamStatus
{
    control::membership::UpstreamRecord record;
    core::identity::NetworkAddress address;
    /** Differs after each restart of the upstream. */
    std::string instance;
    /** How much longer the upstream bears little after its start; zero when it is warm. */
    std::chrono::milliseconds coldLeft{0};
};

} // namespace boragetrack::transport::serving
