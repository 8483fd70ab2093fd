/** The thread of a simulated process. */
#pragma once

#include "UsageWorld.h"

#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace boragetrack::tests {

/** Delivers responses to a process. While the process is paused they wait; after its end they are
    dropped. */
class UsageProcess
{
public:
    explicit UsageProcess(UsageWorld &world)
        : world_(world)
    {}

    /** Wraps a callback so that it runs on this process. */
    template <typename Response>
    std::function<void(Response)> wrapResponse(std::function<void(Response)> callback)
    {
        return [this, alive = std::weak_ptr(alive_),
                callback = std::move(callback)](Response response) {
            if (alive.expired())
                return;
            if (isPaused_)
                waiting_.push_back([callback, response]() { callback(response); });
            else
                callback(response);
        };
    }

    /** Runs an action on this process after a delay. */
    void schedule(UsageWorld::Milliseconds delay, std::function<void()> action)
    {
        const auto run = wrapResponse<bool>([action = std::move(action)](bool) { action(); });
        world_.schedule(delay, [run]() { run(true); });
    }

    bool isPaused() const { return isPaused_; }
    void pause() { isPaused_ = true; }

    /** Resumes and delivers what has waited. */
    void resume()
    {
        isPaused_ = false;
        while (!waiting_.empty()) {
            const auto action = std::move(waiting_.front());
            waiting_.pop_front();
            action();
        }
    }

private:
    UsageWorld &world_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool isPaused_ = false;
    std::deque<std::function<void()>> waiting_;
};

} // namespace boragetrack::tests
