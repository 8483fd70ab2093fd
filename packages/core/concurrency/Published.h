/** Immutable value that one thread replaces and others read. */
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace boragetrack::core::concurrency {

/** Publishes immutable values. Thread-safe; uses a mutex because std::atomic<std::shared_ptr> would
    spin. */
template <typename Value>
class Published
{
public:
    explicit Published(std::shared_ptr<const Value> value)
        : value_(std::move(value))
    {}

    /** Replaces the published value. */
    void publish(std::shared_ptr<const Value> value)
    {
        const std::lock_guard lock(mutex_);
        value_.swap(value);
    }

    /** Returns the value that was published last; it remains valid while the pointer is kept. */
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
