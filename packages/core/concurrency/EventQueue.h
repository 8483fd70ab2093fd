/** A bounded queue that hands work to the thread that owns some state. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>

namespace boragetrack::core::concurrency {

/** Carries tasks from any thread to the one that takes them. */
class EventQueue
{
public:
    using Task = std::function<void()>;

    explicit EventQueue(std::size_t capacity)
        : capacity_(capacity)
    {}

    /** Adds a task. @returns false when the queue is full or closed and the task was dropped */
    bool post(Task task);

    /** Waits for a task until the given time; returns nothing when that time comes first. */
    std::optional<Task> waitUntil(timing::MonotonicTime limit);

    /** Closes the queue and wakes the waiting thread. */
    void close();

    /** Returns whether close() was called. */
    bool isClosed() const;

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable wakeUp_;
    // Invariant: at most capacity_ tasks.
    std::deque<Task> tasks_;
    bool closed_ = false;
};

} // namespace boragetrack::core::concurrency
