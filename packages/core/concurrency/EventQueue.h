/** Bounded queue for passing tasks to the thread that owns some state. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>

namespace boragetrack::core::concurrency {

/** Passes tasks from any thread to one consumer thread, in order of arrival. */
class EventQueue
{
public:
    using Task = std::function<void()>;

    /** @param capacity the maximum number of waiting tasks */
    explicit EventQueue(std::size_t capacity)
        : capacity_(capacity)
    {}

    /** Adds a task. @returns false if the queue is full or closed; the task is then dropped */
    bool post(Task task);

    /** Waits for a task until a deadline or until the queue is closed. @returns the oldest task,
        or nothing if there is none; after close(), the remaining tasks are still returned */
    std::optional<Task> waitUntil(timing::MonotonicTime deadline);

    /** Closes the queue for new tasks and wakes the waiting thread. */
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
