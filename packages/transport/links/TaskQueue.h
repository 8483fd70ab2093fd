/** Task queue for a thread that runs a kj event loop. */
#pragma once

#include <functional>
#include <kj/async.h>
#include <mutex>
#include <vector>

namespace boragetrack::transport::links {

/** Runs tasks from any thread on one event loop, which sleeps while the queue is empty. */
class TaskQueue
{
public:
    using Task = std::function<void()>;

    /** Adds a task; may be called from any thread. @returns false once the queue is closed */
    bool post(Task task);

    /** Runs posted tasks on the calling thread's event loop until close(). */
    kj::Promise<void> run();

    /** Refuses further tasks; run() ends after those that were posted before. */
    void close();

private:
    kj::Promise<void> waitForTasks();
    void wake();

    std::mutex mutex_;
    std::vector<Task> tasks_;
    // Invariant: set only while the loop waits for a task.
    kj::Own<kj::PromiseFulfiller<void>> wakeUp_;
    bool isClosed_ = false;
};

} // namespace boragetrack::transport::links
