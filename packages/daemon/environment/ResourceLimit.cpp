/** Reads the soft limit, at which allocations fail. */
#include "daemon/environment/ResourceLimit.h"

#include <sys/resource.h>

namespace boragetrack::daemon::environment {

MemoryLimit ResourceLimit::read() const
{
    rlimit limit{};
    if (getrlimit(static_cast<__rlimit_resource>(resource_), &limit) != 0)
        return {name_, std::nullopt, false};
    if (limit.rlim_cur == RLIM_INFINITY)
        return {name_, std::nullopt};
    return {name_, static_cast<std::size_t>(limit.rlim_cur)};
}

} // namespace boragetrack::daemon::environment
