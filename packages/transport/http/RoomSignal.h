/** Notification that memory was released. */
#pragma once

#include <kj/async.h>
#include <utility>
#include <vector>

namespace boragetrack::transport::http {

/** Wakes everyone who waits for room in a budget. Used on one thread. */
class RoomSignal
{
public:
    /** Resolves at the next release. */
    kj::Promise<void> whenReleased()
    {
        // Those that no longer wait would stay until the next release.
        std::erase_if(waiting_, [](auto &waiter) { return !waiter->isWaiting(); });
        auto pair = kj::newPromiseAndFulfiller<void>();
        waiting_.push_back(kj::mv(pair.fulfiller));
        return kj::mv(pair.promise);
    }

    /** Wakes all that wait. */
    void release()
    {
        for (auto &waiter : std::exchange(waiting_, {}))
            waiter->fulfill();
    }

private:
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting_;
};

} // namespace boragetrack::transport::http
