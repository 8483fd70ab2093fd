/** The thread that owns all control state. */
#pragma once

#include "core/concurrency/EventQueue.h"
#include "core/timing/TimerService.h"
#include "core/timing/TimerTable.h"

#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace boragetrack::daemon::service {

/** Runs posted tasks and timer ticks on one thread, and sleeps in between. */
class ControlThread : public core::timing::TimerService
{
public:
    /** Tasks that may wait; further ones are dropped and show as failed messages. */
    static constexpr std::size_t queueCapacity = 20'000;

    ControlThread()
        : queue_(queueCapacity)
    {}
    ~ControlThread() override { stop(); }

    /** Starts the thread. */
    void start();

    /** Ends the thread after the tasks posted before. */
    void stop();

    /** Hands a task to the thread. @returns false when it was dropped */
    bool post(core::concurrency::EventQueue::Task task) { return queue_.post(std::move(task)); }

    /** Returns what a function computes on the control thread, or nothing while it stops. */
    template <typename Function>
    auto query(Function function) -> std::optional<decltype(function())>
    {
        using Answer = decltype(function());
        auto promise = std::make_shared<std::promise<Answer>>();
        auto answer = promise->get_future();
        if (!post([promise, function]() { promise->set_value(function()); }))
            return std::nullopt;
        promise.reset();
        try {
            return answer.get();
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
