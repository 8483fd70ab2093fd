/** Implements TaskQueue. */
#include "transport/links/TaskQueue.h"

namespace boragetrack::transport::links {

bool TaskQueue::post(Task task)
{
    const std::lock_guard lock(mutex_);
    if (closed_)
        return false;
    tasks_.push_back(std::move(task));
    wake();
    return true;
}

kj::Promise<void> TaskQueue::run()
{
    return waitForTasks().then([this]() -> kj::Promise<void> {
        std::vector<Task> tasks;
        bool isClosed = false;
        {
            const std::lock_guard lock(mutex_);
            tasks.swap(tasks_);
            isClosed = closed_;
        }
        for (const Task &task : tasks)
            task();
        if (isClosed)
            return kj::READY_NOW;
        return run();
    });
}

void TaskQueue::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
    wake();
}

kj::Promise<void> TaskQueue::waitForTasks()
{
    const std::lock_guard lock(mutex_);
    if (closed_ || !tasks_.empty())
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    wakeUp_ = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

void TaskQueue::wake()
{
    if (wakeUp_.get() == nullptr)
        return;
    wakeUp_->fulfill();
    wakeUp_ = nullptr;
}

} // namespace boragetrack::transport::links
