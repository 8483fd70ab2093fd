/** Waiting for a revision of the intent to be in force. */
#pragma once

#include "core/identity/Revision.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace boragetrack::daemon::service {

/** Lets threads that handle operators' requests wait until a revision is in force on this node. */
class RevisionMonitor
{
public:
    /** Sets the revision in force and wakes the waiting threads. */
    void publish(core::identity::Revision revision)
    {
        {
            const std::lock_guard lock(mutex_);
            revision_ = revision;
        }
        changed_.notify_all();
    }

    /** Waits until the given revision or a higher one is in force, or until the timeout. */
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
