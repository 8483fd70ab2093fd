/** Schedules one event for the next tick of each subscription. */
#include "emulator/restarts/EventTimerService.h"

namespace boragetrack::emulator::restarts {

void EventTimerService::addListener(Listener &listener, std::chrono::milliseconds period)
{
    const Subscription subscription{period, ++lastNumber_};
    subscriptions_[&listener] = subscription;
    scheduleTick(listener, subscription);
}

void EventTimerService::scheduleTick(Listener &listener, const Subscription &subscription)
{
    clock_.schedule(subscription.period,
                    [self = std::weak_ptr(self_), &listener, number = subscription.number]() {
                        if (const auto service = self.lock())
                            (*service)->tick(listener, number);
                    });
}

void EventTimerService::tick(Listener &listener, std::uint64_t number)
{
    const auto isCurrent = [&]() {
        const auto found = subscriptions_.find(&listener);
        return found != subscriptions_.end() && found->second.number == number;
    };
    if (!isCurrent())
        return;
    beforeTick_();
    listener.timerElapsed(clock_.now());
    if (isCurrent())
        scheduleTick(listener, subscriptions_.at(&listener));
}

} // namespace boragetrack::emulator::restarts
