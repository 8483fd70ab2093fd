/** Non-blocking output of log lines. */
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace boragetrack::core::events {

/** Writes whole lines to standard output without blocking: a line for which a pipe has no room is
    dropped and counted. Thread-safe. Other processes must not write to the same pipe: they could
    take the room between the check and the write. */
class StandardOutput
{
public:
    /** Longest line in bytes, with its line feed; a pipe that polls as writable accepts that much
        in one write. */
    static constexpr std::size_t maximumLineBytes = 4096;

    /** Returns the single instance of this process. */
    static StandardOutput &instance();

    /** Writes a line, truncated to the maximum length. @returns false if it was dropped */
    bool write(std::string line);

    /** Returns the number of lines dropped so far. */
    std::uint64_t dropped() const { return dropped_.load(std::memory_order_relaxed); }

private:
    // Held from the check for room until the line is written.
    std::mutex mutex_;
    std::atomic<std::uint64_t> dropped_{0};
};

} // namespace boragetrack::core::events
