/** Hands work to a thread that runs a kj event loop. */
#pragma once

#include <functional>
#include <kj/async.h>
#include <mutex>
#include <vector>

namespace boragetrack::transport::links {

/** Carries tasks from any thread into one event loop; the loop sleeps until one arrives. */
class TaskQueue
{
public:
    using Task = std::function<void()>;

    /** Adds a task. @returns false once the mailbox is closed */
    bool post(Task task);

    /** Runs posted tasks on the calling thread's event loop until close(). */
    kj::Promise<void> run();

    /** Refuses further tasks and ends run() after those posted before. */
    void close();

private:
    kj::Promise<void> waitForTasks();
    void wake();

    std::mutex mutex_;
    std::vector<Task> tasks_;
    // Set while the loop waits for a task.
    kj::Own<kj::PromiseFulfiller<void>> wakeUp_;
    bool closed_ = false;
};

} // namespace boragetrack::transport::links
