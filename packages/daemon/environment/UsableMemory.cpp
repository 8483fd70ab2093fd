/** A limit that equals the setting changes nothing, so that the setting is named. */
#include "daemon/environment/UsableMemory.h"

namespace boragetrack::daemon::environment {

UsableMemory UsableMemory::select(std::optional<std::size_t> setting,
                                  const std::vector<MemoryLimit> &limits)
{
    UsableMemory memory{setting.value_or(maximumDefaultBytes), setting ? "setting" : "default", ""};
    for (const MemoryLimit &limit : limits) {
        if (!limit.isReadable) {
            memory.unreadSources += memory.unreadSources.empty() ? "" : ",";
            memory.unreadSources += limit.source;
        }
        if (limit.bytes && *limit.bytes < memory.bytes) {
            memory.bytes = *limit.bytes;
            memory.source = limit.source;
        }
    }
    return memory;
}

} // namespace boragetrack::daemon::environment
