/** The calls that run at the co-located upstream, by request id. */
#pragma once

#include <map>
#include <optional>
#include <string>

namespace boragetrack::traffic::calls {

/** Identifies nested calls: a request that carries the id of a running call was made by it. */
class RunningCalls
{
public:
    /** Registers a call as running while this object exists; the RunningCalls must outlive it. */
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

    /** Returns the attempt number of the running call with an id; nothing when none runs. */
    std::optional<int> attemptOf(const std::string &requestId) const
    {
        const auto found = attempts_.find(requestId);
        return requestId.empty() || found == attempts_.end() ? std::nullopt
                                                             : std::optional(found->second);
    }

private:
    // The attempt numbers by request id; several calls may carry the same id.
    std::multimap<std::string, int> attempts_;
};

} // namespace boragetrack::traffic::calls
