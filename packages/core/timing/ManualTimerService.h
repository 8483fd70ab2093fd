/** A timer service under a manual clock. */
#pragma once

#include "core/timing/TimerService.h"
#include "core/timing/TimerTable.h"

namespace boragetrack::core::timing {

/** Moves its clock only when told, so that scenarios and tests repeat exactly. */
class ManualTimerService : public TimerService
{
public:
    void addListener(Listener &listener, std::chrono::milliseconds period) override;
    void removeListener(Listener &listener) override;
    MonotonicTime now() const override { return now_; }

    /** Moves the clock forward and delivers every tick on the way at its own time. */
    void advance(std::chrono::milliseconds step);

private:
    TimerTable table_;
    MonotonicTime now_{};
};

} // namespace boragetrack::core::timing
