/** Implements StoreWatcher. */
#include "daemon/service/StoreWatcher.h"

#include "control/store/StoreKeys.h"
#include "core/events/EventLog.h"

#include <algorithm>

namespace boragetrack::daemon::service {

using core::events::EventCode;

namespace {
constexpr int maximumDoublings = 5;
} // namespace

StoreWatcher::StoreWatcher(control::store::ConfigStore &store,
                           core::counters::CounterRegistry &counters, ValueSink sink)
    : store_(store)
    , sink_(std::move(sink))
    , storeCalls_(counters.counter("store_calls"))
{}

void StoreWatcher::start()
{
    thread_ = std::thread([this]() { run(); });
}

void StoreWatcher::setActive(bool isActive)
{
    {
        const std::lock_guard lock(mutex_);
        isActive_ = isActive;
    }
    changed_.notify_all();
}

void StoreWatcher::requestStop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
}

bool StoreWatcher::tryJoin()
{
    {
        const std::lock_guard lock(mutex_);
        if (isWatching_)
            return false;
    }
    if (thread_.joinable())
        thread_.join();
    return true;
}

void StoreWatcher::run()
{
    while (true) {
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return isActive_ || isStopping_; });
            if (isStopping_)
                return;
            isWatching_ = true;
        }
        watchOnce();
        {
            const std::lock_guard lock(mutex_);
            isWatching_ = false;
        }
        if (failures_ > 0)
            backOff();
    }
}

void StoreWatcher::watchOnce()
{
    storeCalls_.add();
    const auto value = store_.watch(control::store::intentKey, known_, watchTimeout);
    const bool isAnswered = value.ok() || absl::IsDeadlineExceeded(value.status())
                            || absl::IsNotFound(value.status());
    if (!isAnswered) {
        if (failures_++ == 0)
            core::events::logEvent(EventCode::StoreUnavailable, "platform unavailable",
                                   {{"error", std::string(value.status().message())}});
        return;
    }
    if (failures_ > 0)
        core::events::logEvent(EventCode::StoreRecovered, "platform answers again");
    failures_ = 0;
    if (!value.ok())
        return;
    known_ = value->version;
    sink_(value->value);
}

void StoreWatcher::backOff()
{
    const int doublings = std::min(failures_ - 1, maximumDoublings);
    const auto longest = std::min(maximumBackoff, initialBackoff * (1 << doublings));
    // Half fixed, half random, so that watchers do not return to the platform as one.
    std::uniform_int_distribution<std::int64_t> spread(longest.count() / 2, longest.count());
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(spread(random_)),
                      [this] { return isStopping_; });
}

} // namespace boragetrack::daemon::service
