/** After the deadline the loop polls on, since one poll reads a part of the sockets that are ready,
    and then handles all that it has read. */
#include "transport/timing/Deadline.h"

namespace boragetrack::transport::timing {

namespace {

// A poll reads at most 16 events of the operating system. On a loop that takes long for each turn,
// the time bounds the polls.
constexpr int minimumPolls = 2;
constexpr int maximumPolls = 16;
constexpr kj::Duration pollTime = 20 * kj::MILLISECONDS;

kj::Promise<void> pollOn(kj::Timer &timer, kj::TimePoint end, int polls)
{
    const bool isOver = polls >= maximumPolls || (polls >= minimumPolls && timer.now() >= end);
    if (isOver)
        return kj::evalLast([]() {});
    return timer.atTime(timer.now()).then([&timer, end, polls]() {
        return pollOn(timer, end, polls + 1);
    });
}

} // namespace

kj::Promise<void> whenPassed(kj::Timer &timer, kj::TimePoint deadline)
{
    return timer.atTime(deadline).then(
            [&timer]() { return pollOn(timer, timer.now() + pollTime, 0); });
}

} // namespace boragetrack::transport::timing
