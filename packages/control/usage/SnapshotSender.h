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

/** Sends the node's own snapshots to the holder and the standby, and passes the snapshots of
    processes that ended on to a holder that may lack them. */
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

    /** Sends a snapshot of this process. */
    void send(const UsageSnapshot &snapshot, const std::vector<DutyHolder> &targets);

    /** Sends snapshots of other processes to the holder, until it responds to each.
        @returns whether the holder may not know all of these processes yet */
    bool passOn(const std::vector<UsageSnapshot> &snapshots, const DutyHolder &holder);

private:
    using Process = std::pair<core::identity::NodeId, std::uint64_t>;

    UsageTransport &transport_;
    const DutyHolder self_;
    const Callback callback_;
    std::shared_ptr<SnapshotSender *> guard_ = std::make_shared<SnapshotSender *>(this);
    // The holder that snapshots were passed on to, and the last sequence number of each process
    // that it has acknowledged.
    std::optional<DutyHolder> passedOnTo_;
    std::map<Process, std::uint64_t> acknowledged_;
};

} // namespace boragetrack::control::usage
