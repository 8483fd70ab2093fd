/** The interface through which counts are sent to other nodes. */
#pragma once

#include "control/usage/UsageSnapshot.h"
#include "core/identity/NetworkAddress.h"

#include <functional>

namespace boragetrack::control::usage {

/** Sends counts without blocking; callbacks run on the control thread. */
class UsageTransport
{
public:
    /** Receives the last window that the peer knows as reported; not called if the peer does not
        respond. */
    using Callback = std::function<void(UsageWindow reportedThrough)>;

    virtual ~UsageTransport() = default;

    /** Sends a snapshot to a peer. */
    virtual void sendUsage(const core::identity::NetworkAddress &peer,
                           const UsageSnapshot &snapshot, Callback callback)
            = 0;
};

} // namespace boragetrack::control::usage
