/** The thread that watches the platform. */
#pragma once

#include "control/store/ConfigStore.h"
#include "core/counters/CounterRegistry.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

namespace boragetrack::daemon::service {

/** Watches the intent's key while this node is among the watchers of its data centre. */
class StoreWatcher
{
public:
    /** How long one watch waits at the platform. */
    static constexpr std::chrono::milliseconds watchTimeout{10'000};
    /** The wait after a first failure; doubles with each further one, and is spread at random. */
    static constexpr std::chrono::milliseconds initialBackoff{250};
    static constexpr std::chrono::milliseconds maximumBackoff{4000};

    using ValueSink = std::function<void(const std::string &)>;

    /** @param store outlives the watcher @param sink takes each value; called on this thread */
    StoreWatcher(control::store::ConfigStore &store, core::counters::CounterRegistry &counters,
                 ValueSink sink);

    /** Starts the thread, not watching. */
    void start();

    /** Begins or ends watching. */
    void setActive(bool isActive);

    /** Tells the thread to end; a watch under way is not waited for. */
    void requestStop();

    /** Ends the thread if it is idle. @returns false when a watch under way keeps it */
    bool tryJoin();

private:
    void run();
    void watchOnce();
    void backOff();

    control::store::ConfigStore &store_;
    ValueSink sink_;
    core::counters::Counter &storeCalls_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isActive_ = false;
    bool isStopping_ = false;
    bool isWatching_ = false;
    // Used on the watching thread only.
    control::store::StoreVersion known_;
    int failures_ = 0;
    std::mt19937_64 random_{std::random_device{}()};
    std::thread thread_;
};

} // namespace boragetrack::daemon::service
