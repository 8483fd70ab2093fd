/** Thread that owns all control state. */
#pragma once

#include "core/concurrency/EventQueue.h"
#include "core/timing/TimerService.h"
#include "core/timing/TimerTable.h"

#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace boragetrack::daemon::service {

/** Runs posted tasks and timer ticks on one thread, and sleeps while there are none. */
class ControlThread : public core::timing::TimerService
{
public:
    /** Maximum number of waiting tasks. Further tasks are dropped, and the messages that they
        handle fail. */
    static constexpr std::size_t queueCapacity = 20'000;

    ControlThread()
        : queue_(queueCapacity)
    {}
    ~ControlThread() override { stop(); }

    /** Starts the thread. */
    void start();

    /** Runs the tasks that were posted before, then stops and joins the thread. */
    void stop();

    /** Posts a task to the thread; called on any thread. @returns false if the task was dropped */
    bool post(core::concurrency::EventQueue::Task task) { return queue_.post(std::move(task)); }

    /** Runs a function on the control thread and waits for its result; called on other threads.
        @returns the result, or nothing if the task was dropped or the thread is stopping */
    template <typename Function>
    auto query(Function function) -> std::optional<decltype(function())>
    {
        using Result = decltype(function());
        auto promise = std::make_shared<std::promise<Result>>();
        auto result = promise->get_future();
        if (!post([promise, function]() { promise->set_value(function()); }))
            return std::nullopt;
        // The task now holds the only reference: if it is dropped, the future throws.
        promise.reset();
        try {
            return result.get();
        } catch (const std::future_error &) {
            return std::nullopt;
        }
    }

    void addListener(Listener &listener, std::chrono::milliseconds period) override;
    void removeListener(Listener &listener) override;
    core::timing::MonotonicTime now() const override { return std::chrono::steady_clock::now(); }

private:
    void run();

    core::concurrency::EventQueue queue_;
    // Used on the control thread only.
    core::timing::TimerTable timers_;
    std::thread thread_;
};

} // namespace boragetrack::daemon::service
