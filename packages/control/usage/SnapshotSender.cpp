/** Acknowledgements are kept per target and process, for as long as the target stays one. */
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

void SnapshotSender::send(const UsageSnapshot &snapshot, const std::vector<UsageSnapshot> &silent,
                          const std::vector<DutyHolder> &targets)
{
    forgetExcept(silent, targets);
    UsageSnapshot preliminary = snapshot;
    for (WindowCounts &window : preliminary.windows)
        window.isFinal = false;
    for (const DutyHolder &target : targets)
        transmit(passOn(silent, target) ? preliminary : snapshot, target);
}

void SnapshotSender::forgetExcept(const std::vector<UsageSnapshot> &silent,
                                  const std::vector<DutyHolder> &targets)
{
    std::set<Process> needed;
    for (const UsageSnapshot &snapshot : silent)
        needed.emplace(snapshot.node, snapshot.generation);
    std::map<Process, std::map<Process, std::uint64_t>> kept;
    for (const DutyHolder &target : targets) {
        auto &known = kept[processOf(target)];
        known = std::move(acknowledged_[processOf(target)]);
        std::erase_if(known, [&](const auto &item) { return !needed.contains(item.first); });
    }
    acknowledged_ = std::move(kept);
}

SnapshotSender::Process SnapshotSender::processOf(const DutyHolder &target)
{
    return {target.node, target.generation};
}

// Returns whether the target may not know all of the processes yet.
bool SnapshotSender::passOn(const std::vector<UsageSnapshot> &silent, const DutyHolder &target)
{
    const auto &acknowledged = acknowledged_[processOf(target)];
    bool isUnknown = false;
    for (const UsageSnapshot &snapshot : silent) {
        const Process process(snapshot.node, snapshot.generation);
        const auto known = acknowledged.find(process);
        if (process == processOf(target)
            || (known != acknowledged.end() && known->second >= snapshot.sequence))
            continue;
        isUnknown = isUnknown || known == acknowledged.end();
        transmit(snapshot, target);
    }
    return isUnknown;
}

void SnapshotSender::transmit(const UsageSnapshot &snapshot, const DutyHolder &target)
{
    transport_.sendUsage(target.address, snapshot,
                         [guard = guard_, target = processOf(target),
                          process = Process(snapshot.node, snapshot.generation),
                          sequence = snapshot.sequence](UsageWindow reported) {
                             if (*guard == nullptr)
                                 return;
                             (*guard)->handleAcknowledged(target, process, sequence);
                             (*guard)->callback_(reported);
                         });
}

void SnapshotSender::handleAcknowledged(const Process &target, const Process &process,
                                        std::uint64_t sequence)
{
    const auto found = acknowledged_.find(target);
    if (found == acknowledged_.end() || process == processOf(self_))
        return;
    std::uint64_t &known = found->second[process];
    known = std::max(known, sequence);
}

} // namespace boragetrack::control::usage
