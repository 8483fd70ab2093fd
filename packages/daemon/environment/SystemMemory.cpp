/** Of limits that are equal, the one that is read first is named. */
#include "daemon/environment/SystemMemory.h"

#include "daemon/environment/ControlGroupLimit.h"
#include "daemon/environment/PhysicalMemory.h"
#include "daemon/environment/ResourceLimit.h"

#include <memory>
#include <sys/resource.h>

namespace boragetrack::daemon::environment {

std::vector<MemoryLimit> readSystemMemoryLimits()
{
    std::vector<std::unique_ptr<MemoryLimitSource>> sources;
    sources.push_back(std::make_unique<ControlGroupLimit>());
    sources.push_back(std::make_unique<ResourceLimit>(RLIMIT_AS, "RLIMIT_AS"));
    sources.push_back(std::make_unique<ResourceLimit>(RLIMIT_DATA, "RLIMIT_DATA"));
    sources.push_back(std::make_unique<PhysicalMemory>());
    std::vector<MemoryLimit> limits;
    limits.reserve(sources.size());
    for (const auto &source : sources)
        limits.push_back(source->read());
    return limits;
}

} // namespace boragetrack::daemon::environment
