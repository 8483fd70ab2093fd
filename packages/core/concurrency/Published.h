/** A value that one thread publishes whole and others read. */
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace boragetrack::core::concurrency {

/** Publishes immutable values under a mutex; std::atomic<std::shared_ptr> would spin. */
template <typename Value>
class Published
{
public:
    explicit Published(std::shared_ptr<const Value> value)
        : value_(std::move(value))
    {}

    /** Replaces the published value as a whole. */
    void publish(std::shared_ptr<const Value> value)
    {
        const std::lock_guard lock(mutex_);
        value_.swap(value);
    }

    /** Returns the value published last; it stays valid while the reader holds it. */
    std::shared_ptr<const Value> current() const
    {
        const std::lock_guard lock(mutex_);
        return value_;
    }

private:
    mutable std::mutex mutex_;
    // Invariant: never null.
    std::shared_ptr<const Value> value_;
};

} // namespace boragetrack::core::concurrency
