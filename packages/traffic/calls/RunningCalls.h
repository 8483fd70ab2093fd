/** The calls that the upstream beside this node runs. */
#pragma once

#include <map>
#include <optional>
#include <string>

namespace boragetrack::traffic::calls {

/** Tells whether a request comes from a call that is running here, which then waits for it. */
class RunningCalls
{
public:
    /** Registers a call for the length of a scope. */
    class ScopedCall
    {
    public:
        ScopedCall(RunningCalls &calls, const std::string &requestId, int attempt)
            : calls_(calls)
            , entry_(calls_.attempts_.emplace(requestId, attempt))
        {}
        ~ScopedCall() { calls_.attempts_.erase(entry_); }
        ScopedCall(const ScopedCall &) = delete;
        ScopedCall &operator=(const ScopedCall &) = delete;

    private:
        RunningCalls &calls_;
        std::multimap<std::string, int>::iterator entry_;
    };

    /** Returns the attempt of a running call by its id; nothing when none runs. */
    std::optional<int> attemptOf(const std::string &requestId) const
    {
        const auto found = attempts_.find(requestId);
        return requestId.empty() || found == attempts_.end() ? std::nullopt
                                                             : std::optional(found->second);
    }

private:
    std::multimap<std::string, int> attempts_;
};

} // namespace boragetrack::traffic::calls
