/** Waits by sleeping. */
#pragma once

#include "control/store/EditWaiter.h"

#include <thread>

namespace boragetrack::control::store {

/** Sleeps, for threads and programs that have nothing else to do than to finish an edit. */
class SleepingWaiter : public EditWaiter
{
public:
    void wait(std::chrono::milliseconds time) override { std::this_thread::sleep_for(time); }
};

} // namespace boragetrack::control::store
