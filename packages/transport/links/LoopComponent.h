/** A part of a node that works on the traffic thread. */
#pragma once

#include "transport/links/LoopContext.h"

#include <absl/status/status.h>

namespace boragetrack::transport::links {

/** Is started and destroyed on the traffic thread. */
class LoopComponent
{
public:
    virtual ~LoopComponent() = default;

    /** Begins to work. @param context outlives the part's work
        @returns why it can not, for instance because an address is in use */
    virtual absl::Status start(LoopContext &context) = 0;

    /** Ends the work and gives up everything that belongs to the loop. */
    virtual void stop() = 0;
};

} // namespace boragetrack::transport::links
