/** Interface to the delay between attempts of an editor. */
#pragma once

#include <chrono>

namespace boragetrack::control::store {

/** Waits on behalf of an editor. Tests replace it by one that does not block. */
class EditWaiter
{
public:
    virtual ~EditWaiter() = default;

    /** Blocks the calling thread for the given time. */
    virtual void wait(std::chrono::milliseconds time) = 0;
};

} // namespace boragetrack::control::store
