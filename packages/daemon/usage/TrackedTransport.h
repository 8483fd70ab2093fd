/** Acknowledgement of the counts that a node sends. */
#pragma once

#include "control/usage/UsageTransport.h"

#include <cstddef>
#include <memory>

namespace boragetrack::daemon::usage {

/** Passes counts on to another transport and tells when peers have acknowledged the last ones of
    this process. Used on the control thread only. */
class TrackedTransport : public control::usage::UsageTransport
{
public:
    /** @param transport outlives this object
        @param node and @param generation identify this process */
    TrackedTransport(control::usage::UsageTransport &transport, core::identity::NodeId node,
                     std::uint64_t generation);
    ~TrackedTransport() override;
    TrackedTransport(const TrackedTransport &) = delete;
    TrackedTransport &operator=(const TrackedTransport &) = delete;

    void sendUsage(const core::identity::NetworkAddress &peer,
                   const control::usage::UsageSnapshot &snapshot, Callback callback) override;

    /** Calls a function once every peer to which counts are sent from now on has acknowledged them;
        never if a peer does not respond. */
    void notifyWhenAcknowledged(std::function<void()> whenAcknowledged);

    /** Returns whether counts that were sent since notifyWhenAcknowledged() are not acknowledged
        yet. */
    bool isAwaited() const { return awaited_ > 0; }

private:
    void acknowledged();

    control::usage::UsageTransport &transport_;
    core::identity::NodeId node_;
    std::uint64_t generation_;
    std::function<void()> whenAcknowledged_;
    std::size_t awaited_ = 0;
    // Null once this object is destroyed.
    std::shared_ptr<TrackedTransport *> self_ = std::make_shared<TrackedTransport *>(this);
};

} // namespace boragetrack::daemon::usage
