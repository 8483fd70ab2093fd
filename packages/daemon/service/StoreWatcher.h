/** Watching of the intent in the native format. */
#pragma once

#include "control/store/ConfigStore.h"
#include "core/counters/CounterRegistry.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

namespace boragetrack::daemon::service {

/** Watches the intent's key on a thread of its own, while this node is among the watchers of its
    data centre. */
class StoreWatcher
{
public:
    /** How long the platform keeps a watch open without a change. */
    static constexpr std::chrono::milliseconds watchTimeout{10'000};
    /** The delay after the first failure; doubles with each further one, and is randomised. */
    static constexpr std::chrono::milliseconds initialBackoff{250};
    static constexpr std::chrono::milliseconds maximumBackoff{4000};

    using ValueSink = std::function<void(const std::string &)>;

    /** @param store outlives the watcher
        @param sink receives each new value; called on the watcher's thread */
    StoreWatcher(control::store::ConfigStore &store, core::counters::CounterRegistry &counters,
                 ValueSink sink);

    /** Starts the thread, which does not watch until setActive(). */
    void start();

    /** Sets whether to watch; a watch in progress is completed. */
    void setActive(bool isActive);

    /** Requests the thread to stop; does not wait for a watch in progress. */
    void requestStop();

    /** Joins the thread unless a watch is in progress. Requires requestStop().
        @returns false if a watch is in progress */
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
    // Used on the watcher's thread only.
    control::store::StoreVersion knownVersion_;
    int failures_ = 0;
    std::mt19937_64 random_{std::random_device{}()};
    std::thread thread_;
};

} // namespace boragetrack::daemon::service
