/** The waiter that is used outside tests. */
#pragma once

#include "control/store/EditWaiter.h"

#include <thread>

namespace boragetrack::control::store {

/** Blocks the thread, so it is only for threads and programs that do nothing but the edit. */
class SleepingWaiter : public EditWaiter
{
public:
    void wait(std::chrono::milliseconds time) override { std::this_thread::sleep_for(time); }
};

} // namespace boragetrack::control::store
