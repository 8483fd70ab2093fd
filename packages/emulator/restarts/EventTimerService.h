/** Timers of one simulated process. */
#pragma once

#include "core/timing/TimerService.h"
#include "emulator/clock/EventClock.h"

#include <map>
#include <memory>

namespace boragetrack::emulator::restarts {

/** Delivers the ticks of one process as events of the simulation. No tick is delivered once this
    object is destroyed. */
class EventTimerService : public core::timing::TimerService
{
public:
    /** Runs before each tick. */
    using TickObserver = std::function<void()>;

    /** @param clock must outlive this object */
    EventTimerService(clock::EventClock &clock, TickObserver beforeTick)
        : clock_(clock)
        , beforeTick_(std::move(beforeTick))
    {}

    void addListener(Listener &listener, std::chrono::milliseconds period) override;
    void removeListener(Listener &listener) override { subscriptions_.erase(&listener); }
    core::timing::MonotonicTime now() const override { return clock_.now(); }

private:
    struct Subscription
    {
        std::chrono::milliseconds period{0};
        // Differs for each subscription of a listener, so that ticks of a replaced one are ignored.
        std::uint64_t number = 0;
    };

    void scheduleTick(Listener &listener, const Subscription &subscription);
    void tick(Listener &listener, std::uint64_t number);

    clock::EventClock &clock_;
    TickObserver beforeTick_;
    std::map<Listener *, Subscription> subscriptions_;
    std::uint64_t lastNumber_ = 0;
    std::shared_ptr<EventTimerService *> self_ = std::make_shared<EventTimerService *>(this);
};

} // namespace boragetrack::emulator::restarts
