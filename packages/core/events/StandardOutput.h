/** Writes log lines to standard output. */
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace boragetrack::core::events {

/** Writes whole lines and never blocks: a line that a full pipe would hold up is dropped and
    counted. */
class StandardOutput
{
public:
    /** The longest line, in bytes; a pipe that is ready takes that much at once. */
    static constexpr std::size_t maximumLineBytes = 4096;

    /** Returns the one of this process. */
    static StandardOutput &instance();

    /** Writes a line, cut to the maximum. @returns false when it was dropped */
    bool write(std::string line);

    /** Returns the lines dropped so far. */
    std::uint64_t dropped() const { return dropped_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> dropped_{0};
};

} // namespace boragetrack::core::events
