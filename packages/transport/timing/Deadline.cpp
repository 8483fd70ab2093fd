/** After the deadline the loop polls again, since one poll reads a part of the sockets that are
    ready, and then handles all that it has read. */
#include "transport/timing/Deadline.h"

namespace boragetrack::transport::timing {

namespace {

// A poll reads at most 16 events of the operating system.
constexpr int pollsAfterDeadline = 2;

kj::Promise<void> whenPolled(kj::Timer &timer, int polls)
{
    if (polls == 0)
        return kj::evalLast([]() {});
    return timer.atTime(timer.now()).then([&timer, polls]() {
        return whenPolled(timer, polls - 1);
    });
}

} // namespace

kj::Promise<void> whenPassed(kj::Timer &timer, kj::TimePoint deadline)
{
    return timer.atTime(deadline).then(
            [&timer]() { return whenPolled(timer, pollsAfterDeadline); });
}

} // namespace boragetrack::transport::timing
