/** Timer service with a manually advanced clock. */
#pragma once

#include "core/timing/TimerService.h"
#include "core/timing/TimerTable.h"

namespace boragetrack::core::timing {

/** Advances its clock only on request, so that scenarios and tests are reproducible. */
class ManualTimerService : public TimerService
{
public:
    void addListener(Listener &listener, std::chrono::milliseconds period) override;
    void removeListener(Listener &listener) override;
    MonotonicTime now() const override { return now_; }

    /** Advances the clock and delivers each tick that becomes due at its due time. */
    void advance(std::chrono::milliseconds step);

private:
    TimerTable table_;
    MonotonicTime now_{};
};

} // namespace boragetrack::core::timing
