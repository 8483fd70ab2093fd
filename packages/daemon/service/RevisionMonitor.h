/** The revision in force, for threads that wait for it. */
#pragma once

#include "core/identity/Revision.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace boragetrack::daemon::service {

/** Lets operators' requests wait until a revision is in force on this node. */
class RevisionMonitor
{
public:
    /** Announces the revision in force. */
    void publish(core::identity::Revision revision)
    {
        {
            const std::lock_guard lock(mutex_);
            revision_ = revision;
        }
        changed_.notify_all();
    }

    /** Waits until at least the given revision is in force or the time is over. */
    void waitFor(core::identity::Revision revision, std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, timeout, [&] { return revision_ >= revision; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    core::identity::Revision revision_;
};

} // namespace boragetrack::daemon::service
