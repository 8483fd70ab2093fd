/** Interface of the components that use the traffic thread's event loop. */
#pragma once

#include "transport/links/LoopContext.h"

#include <absl/status/status.h>

namespace boragetrack::transport::links {

/** Is started and stopped on the traffic thread. */
class LoopComponent
{
public:
    virtual ~LoopComponent() = default;

    /** Starts the component.
        @param context valid until stop()
        @returns the reason for a failure, such as an address in use */
    virtual absl::Status start(LoopContext &context) = 0;

    /** Stops the component and releases everything that is bound to the event loop. Also called on
        components that were not started because an earlier one failed. */
    virtual void stop() = 0;
};

} // namespace boragetrack::transport::links
