/** The state of the node's upstream that the inbound proxy needs. */
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
    /** Identifies the process; differs after each restart of the upstream. */
    std::string instance;
    /** How much longer the upstream stays cold, with reduced capacity; zero when it is warm. */
    std::chrono::milliseconds coldLeft{0};
};

} // namespace boragetrack::transport::serving
