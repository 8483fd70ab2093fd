/** The limits that the system sets on the memory of this process. */
#pragma once

#include "daemon/environment/MemoryLimit.h"

#include <vector>

namespace boragetrack::daemon::environment {

/** Reads the control group, the resource limits and the size of the machine. */
std::vector<MemoryLimit> readSystemMemoryLimits();

} // namespace boragetrack::daemon::environment
