/** Deadlines that a result which is already there still meets. */
#pragma once

#include <kj/async.h>
#include <kj/debug.h>
#include <kj/timer.h>

namespace boragetrack::transport::timing {

/** Returns a promise that resolves once the deadline has passed and the input that arrived before
    has been handled. A late loop reads its sockets and its timers at the same time; without this,
    the timer would win over a response that waits in a socket. */
kj::Promise<void> whenPassed(kj::Timer &timer, kj::TimePoint deadline);

/** Returns the result of a promise, or rejects with OVERLOADED and cancels the promise once the
    deadline has passed without a result. */
template <typename T>
kj::Promise<T> resultBefore(kj::Timer &timer, kj::TimePoint deadline, kj::Promise<T> promise)
{
    return promise.exclusiveJoin(whenPassed(timer, deadline).then([]() -> kj::Promise<T> {
        return KJ_EXCEPTION(OVERLOADED, "operation timed out");
    }));
}

/** Like resultBefore, with a deadline that is a time from now. */
template <typename T>
kj::Promise<T> resultWithin(kj::Timer &timer, kj::Duration time, kj::Promise<T> promise)
{
    return resultBefore(timer, timer.now() + time, kj::mv(promise));
}

} // namespace boragetrack::transport::timing
