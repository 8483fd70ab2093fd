/** Interface of a source of limits on memory. */
#pragma once

#include "daemon/environment/MemoryLimit.h"

namespace boragetrack::daemon::environment {

/** A place where the system says how much memory this process may use. */
class MemoryLimitSource
{
public:
    virtual ~MemoryLimitSource() = default;

    /** Returns the limit that applies now. A failure shows as a limit that is not readable. */
    virtual MemoryLimit read() const = 0;
};

} // namespace boragetrack::daemon::environment
