/** How an editor waits between attempts. */
#pragma once

#include <chrono>

namespace boragetrack::control::store {

/** Waits on behalf of an editor; tests hand in one that only counts. */
class EditWaiter
{
public:
    virtual ~EditWaiter() = default;

    /** Blocks the calling thread for the given time. */
    virtual void wait(std::chrono::milliseconds time) = 0;
};

} // namespace boragetrack::control::store
