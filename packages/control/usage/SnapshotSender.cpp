/** A holder that gains the duty again may have forgotten nothing, so acknowledgements are kept for
    as long as the holder's process stays the same. */
#include "control/usage/SnapshotSender.h"

#include <algorithm>
#include <set>

namespace boragetrack::control::usage {

SnapshotSender::SnapshotSender(UsageTransport &transport, DutyHolder self, Callback callback)
    : transport_(transport)
    , self_(std::move(self))
    , callback_(std::move(callback))
{}

SnapshotSender::~SnapshotSender()
{
    *guard_ = nullptr;
}

std::vector<DutyHolder> SnapshotSender::targets(const std::optional<DutyHolder> &holder,
                                                const std::vector<DutyHolder> &order) const
{
    std::vector<DutyHolder> targets;
    if (holder)
        targets.push_back(*holder);
    for (const DutyHolder &member : order) {
        if (targets.size() < 2 && !(holder && member.node == holder->node))
            targets.push_back(member);
    }
    std::erase_if(targets, [&](const DutyHolder &target) { return target.node == self_.node; });
    return targets;
}

void SnapshotSender::send(const UsageSnapshot &snapshot, const std::vector<DutyHolder> &targets)
{
    for (const DutyHolder &target : targets) {
        transport_.sendUsage(target.address, snapshot, [guard = guard_](UsageWindow reported) {
            if (*guard != nullptr)
                (*guard)->callback_(reported);
        });
    }
}

bool SnapshotSender::passOn(const std::vector<UsageSnapshot> &snapshots, const DutyHolder &holder)
{
    if (!passedOnTo_ || *passedOnTo_ != holder) {
        passedOnTo_ = holder;
        acknowledged_.clear();
    }
    bool isUnknown = false;
    std::set<Process> waiting;
    for (const UsageSnapshot &snapshot : snapshots) {
        const Process process(snapshot.node, snapshot.generation);
        waiting.insert(process);
        const auto known = acknowledged_.find(process);
        if (known != acknowledged_.end() && known->second >= snapshot.sequence)
            continue;
        isUnknown = isUnknown || known == acknowledged_.end();
        transport_.sendUsage(holder.address, snapshot,
                             [guard = guard_, holder, process,
                              sequence = snapshot.sequence](UsageWindow reported) {
                                 if (*guard == nullptr)
                                     return;
                                 if ((*guard)->passedOnTo_ == holder)
                                     (*guard)->acknowledged_[process] = sequence;
                                 (*guard)->callback_(reported);
                             });
    }
    std::erase_if(acknowledged_, [&](const auto &item) { return !waiting.contains(item.first); });
    return isUnknown;
}

} // namespace boragetrack::control::usage
