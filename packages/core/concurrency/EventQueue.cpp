/** Protects the tasks with a mutex; the consumer waits on a condition variable. */
#include "core/concurrency/EventQueue.h"

namespace boragetrack::core::concurrency {

bool EventQueue::post(Task task)
{
    {
        const std::lock_guard lock(mutex_);
        if (closed_ || tasks_.size() >= capacity_)
            return false;
        tasks_.push_back(std::move(task));
    }
    wakeUp_.notify_one();
    return true;
}

std::optional<EventQueue::Task> EventQueue::waitUntil(timing::MonotonicTime deadline)
{
    std::unique_lock lock(mutex_);
    wakeUp_.wait_until(lock, deadline, [this] { return closed_ || !tasks_.empty(); });
    if (tasks_.empty())
        return std::nullopt;
    Task task = std::move(tasks_.front());
    tasks_.pop_front();
    return task;
}

void EventQueue::close()
{
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
    }
    wakeUp_.notify_all();
}

bool EventQueue::isClosed() const
{
    const std::lock_guard lock(mutex_);
    return closed_;
}

} // namespace boragetrack::core::concurrency
