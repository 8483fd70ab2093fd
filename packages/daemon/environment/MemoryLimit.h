/** What one source says about the memory of a process. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace boragetrack::daemon::environment {

/** A limit on the memory of this process. */
struct MemoryLimit
{
    /** The name of the source, as it is logged. */
    std::string source;
    /** In bytes; empty if the source sets no limit or was not read. */
    std::optional<std::size_t> bytes;
    bool isReadable = true;
};

} // namespace boragetrack::daemon::environment
