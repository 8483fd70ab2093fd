/** The calls that a node is handling for callers. */
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace boragetrack::daemon::frontends {

/** Counts calls under way, so that a planned stop can wait for them. */
class ActiveCalls
{
public:
    /** Counts one call for the length of a scope. */
    class ScopedCall
    {
    public:
        explicit ScopedCall(ActiveCalls &calls)
            : calls_(calls)
        {
            calls_.begin();
        }
        ~ScopedCall() { calls_.end(); }
        ScopedCall(const ScopedCall &) = delete;
        ScopedCall &operator=(const ScopedCall &) = delete;

    private:
        ActiveCalls &calls_;
    };

    /** Waits until no call is under way. @returns false when the time was over first */
    bool waitUntilNone(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(mutex_);
        return ended_.wait_for(lock, timeout, [this] { return count_ == 0; });
    }

private:
    void begin()
    {
        const std::lock_guard lock(mutex_);
        ++count_;
    }

    void end()
    {
        const std::lock_guard lock(mutex_);
        if (--count_ == 0)
            ended_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable ended_;
    // Invariant: not negative.
    int count_ = 0;
};

} // namespace boragetrack::daemon::frontends
