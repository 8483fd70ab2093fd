/** The calls that run at the co-located upstream, by request id. */
#pragma once

#include "core/identity/OrganisationName.h"

#include <map>
#include <optional>
#include <string>

namespace boragetrack::traffic::calls {

/** Identifies nested calls: a request that carries the id of a running call was made by it. */
class RunningCalls
{
private:
    struct Entry
    {
        int attempt = 0;
        core::identity::OrganisationName organisation;
        int priority = 0;
        bool hasFailedNestedCall = false;
    };
    using Entries = std::multimap<std::string, Entry>;

public:
    /** Registers a call as running while this object exists; the RunningCalls must outlive it. */
    class ScopedCall
    {
    public:
        ScopedCall(RunningCalls &calls, const std::string &requestId, int attempt,
                   const core::identity::OrganisationName &organisation, int priority = 0)
            : calls_(calls)
            , entry_(calls_.entries_.emplace(requestId, Entry{attempt, organisation, priority}))
        {}
        ~ScopedCall() { calls_.entries_.erase(entry_); }
        ScopedCall(const ScopedCall &) = delete;
        ScopedCall &operator=(const ScopedCall &) = delete;

        /** Returns whether a call that this one made has failed. */
        bool hasFailedNestedCall() const { return entry_->second.hasFailedNestedCall; }

    private:
        RunningCalls &calls_;
        Entries::iterator entry_;
    };

    /** Returns the attempt number of the running call with an id; nothing when none runs. */
    std::optional<int> attemptOf(const std::string &requestId) const
    {
        const auto found = entries_.find(requestId);
        return requestId.empty() || found == entries_.end() ? std::nullopt
                                                            : std::optional(found->second.attempt);
    }

    /** Returns the organisation of the running call with an id, empty if it has none; nothing when
        none runs. */
    std::optional<core::identity::OrganisationName>
    organisationOf(const std::string &requestId) const
    {
        const auto found = entries_.find(requestId);
        return requestId.empty() || found == entries_.end()
                       ? std::nullopt
                       : std::optional(found->second.organisation);
    }

    /** Returns the priority of the running call with an id; nothing when none runs. */
    std::optional<int> priorityOf(const std::string &requestId) const
    {
        const auto found = entries_.find(requestId);
        return requestId.empty() || found == entries_.end() ? std::nullopt
                                                            : std::optional(found->second.priority);
    }

    /** Records that a call has failed which a running call made. @param requestId the id of the
        running call; ignored when none with this id runs */
    void recordFailedNestedCall(const std::string &requestId)
    {
        if (requestId.empty())
            return;
        const auto [begin, end] = entries_.equal_range(requestId);
        for (auto it = begin; it != end; ++it)
            it->second.hasFailedNestedCall = true;
    }

private:
    // By request id; several calls may carry the same id.
    Entries entries_;
};

} // namespace boragetrack::traffic::calls
