/** The memory of the machine. */
#pragma once

#include "daemon/environment/MemoryLimitSource.h"

namespace boragetrack::daemon::environment {

/** Reads the size of the physical memory. */
class PhysicalMemory : public MemoryLimitSource
{
public:
    MemoryLimit read() const override;
};

} // namespace boragetrack::daemon::environment
