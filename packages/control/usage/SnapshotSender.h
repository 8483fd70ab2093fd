/** Sending of counts to the nodes that need them. */
#pragma once

#include "control/usage/DutyHolder.h"
#include "control/usage/UsageCollector.h"
#include "control/usage/UsageTransport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace boragetrack::control::usage {

/**
    Sends the node's snapshots to the holder and the standby, and passes on those of other processes
    that may have ended.

    A node learns that counts are final only once it has acknowledged what is passed on to it, so
    that it does not report a window before.
*/
class SnapshotSender
{
public:
    using Callback = UsageTransport::Callback;

    /** @param transport outlives the sender
        @param callback receives the last window that a peer knows as reported */
    SnapshotSender(UsageTransport &transport, DutyHolder self, Callback callback);
    ~SnapshotSender();
    SnapshotSender(const SnapshotSender &) = delete;
    SnapshotSender &operator=(const SnapshotSender &) = delete;

    /** Returns the nodes that the counts are sent to: the holder, and the next one in the order.
        Without a holder, the first two in the order, which apply first.
        @param order the live members in the order of the election */
    std::vector<DutyHolder> targets(const std::optional<DutyHolder> &holder,
                                    const std::vector<DutyHolder> &order) const;

    /** Sends a snapshot of this process to targets.
        @param silent the snapshots of other processes that may have ended; each is sent until the
        target has acknowledged it */
    void send(const UsageSnapshot &snapshot, const std::vector<UsageSnapshot> &silent,
              const std::vector<DutyHolder> &targets);

private:
    using Process = std::pair<core::identity::NodeId, std::uint64_t>;

    void forgetExcept(const std::vector<UsageSnapshot> &silent,
                      const std::vector<DutyHolder> &targets);
    static Process processOf(const DutyHolder &target);
    bool passOn(const std::vector<UsageSnapshot> &silent, const DutyHolder &target);
    void transmit(const UsageSnapshot &snapshot, const DutyHolder &target);
    void handleAcknowledged(const Process &target, const Process &process, std::uint64_t sequence);

    UsageTransport &transport_;
    const DutyHolder self_;
    const Callback callback_;
    std::shared_ptr<SnapshotSender *> guard_ = std::make_shared<SnapshotSender *>(this);
    // The last sequence number of each process that each of the last targets has acknowledged.
    std::map<Process, std::map<Process, std::uint64_t>> acknowledged_;
};

} // namespace boragetrack::control::usage
