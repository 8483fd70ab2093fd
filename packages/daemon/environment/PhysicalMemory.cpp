/** Asks the C library for the number and the size of pages. */
#include "daemon/environment/PhysicalMemory.h"

#include <unistd.h>

namespace boragetrack::daemon::environment {

MemoryLimit PhysicalMemory::read() const
{
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    if (pages <= 0 || pageBytes <= 0)
        return {"machine", std::nullopt, false};
    return {"machine", static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes)};
}

} // namespace boragetrack::daemon::environment
