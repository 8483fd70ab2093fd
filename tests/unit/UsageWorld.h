/** Time and pending events of a simulation of usage reports. */
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace boragetrack::tests {

/** Runs events in the order of their times; the clock moves only on request. */
class UsageWorld
{
public:
    using Milliseconds = std::chrono::milliseconds;

    explicit UsageWorld(std::uint64_t seed)
        : random_(seed)
    {}

    Milliseconds now() const { return now_; }

    /** Runs an action after a delay. */
    void schedule(Milliseconds delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    /** Moves the clock and runs all events until then. */
    void advance(Milliseconds step)
    {
        const Milliseconds end = now_ + step;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = std::max(now_, event.key());
            event.mapped()();
        }
        now_ = end;
    }

    /** Returns whether something happens that has a probability. */
    bool happens(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    /** Returns a random time between two. */
    Milliseconds between(Milliseconds least, Milliseconds most)
    {
        return Milliseconds(
                std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
    }

    /** Returns a random number below a bound. */
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }

private:
    Milliseconds now_{100'000};
    std::multimap<Milliseconds, std::function<void()>> events_;
    std::mt19937_64 random_;
};

} // namespace boragetrack::tests
