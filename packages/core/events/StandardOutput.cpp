/** Polls with a zero timeout before each write, so that a full pipe does not block the caller. One
    thread does so at a time: the room that poll() reports suffices for one line only. */
#include "core/events/StandardOutput.h"

#include <poll.h>
#include <unistd.h>

namespace boragetrack::core::events {

StandardOutput &StandardOutput::instance()
{
    static StandardOutput output;
    return output;
}

bool StandardOutput::write(std::string line)
{
    if (line.size() >= maximumLineBytes)
        line.resize(maximumLineBytes - 1);
    line += '\n';
    const std::lock_guard lock(mutex_);
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    const bool isReady = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    const bool isWritten = isReady && ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
    if (!isWritten)
        dropped_.fetch_add(1, std::memory_order_relaxed);
    return isWritten;
}

} // namespace boragetrack::core::events
