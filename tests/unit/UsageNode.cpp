/** The counts of a node are sent as UsageMeter does: the eight oldest windows that are not known as
    reported. */
#include "UsageNode.h"

namespace boragetrack::tests {

using namespace control::usage;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::OrganisationName;
using std::chrono::milliseconds;

UsageNode::UsageNode(Surroundings surroundings, DutyHolder self, const Cuts &cuts)
    : surroundings_(std::move(surroundings))
    , self_(std::move(self))
    , cuts_(cuts)
    , process_(surroundings_.world)
    , storeClient_(surroundings_.world, process_, surroundings_.store, surroundings_.faults,
                   cuts.isStoreCut)
    , receiverClient_(surroundings_.world, process_, surroundings_.receiver, surroundings_.rules,
                      self_.generation, surroundings_.faults, cuts.isReceiverCut)
    , nextSnapshotAt_(surroundings_.world.now()
                      + surroundings_.world.between(milliseconds(0), milliseconds(1000)))
    , reporter_(UsageReporter::Dependencies{
              storeClient_, receiverClient_, *this, timers_, *this,
              [&world = surroundings_.world]() { return wallTimeAt(world.now()); }, *this, self_,
              surroundings_.settings})
{}

void UsageNode::advance(Milliseconds step)
{
    if (process_.isPaused())
        return;
    if (surroundings_.world.now() >= nextSnapshotAt_) {
        nextSnapshotAt_ = surroundings_.world.now() + milliseconds(1000);
        reporter_.countsTaken(snapshot());
    }
    timers_.advance(step);
}

void UsageNode::countRequest(const std::string &organisation)
{
    const UsageWindow window = UsageWindow::at(wallTimeAt(surroundings_.world.now()),
                                               surroundings_.settings.windowPeriod);
    ++counted[window.number()][OrganisationName(organisation)];
}

void UsageNode::synchronize()
{
    if (cuts_.isStoreCut || surroundings_.faults.isStoreOut)
        return;
    const auto page = surroundings_.store.list("");
    process_.schedule(milliseconds(0), [this, page]() {
        table_.mergeListing("", page.records, page.revision);
        reporter_.recordsChanged(table_);
    });
}

UsageSnapshot UsageNode::snapshot()
{
    const auto wall = wallTimeAt(surroundings_.world.now());
    UsageSnapshot snapshot{self_.node, self_.generation, ++sequence_, {}};
    for (const auto &[number, counts] : counted) {
        const UsageWindow window(number);
        const auto end = window.endsAt(surroundings_.settings.windowPeriod);
        const bool isWanted
                = window > reporter_.reportedThrough() && wall < end + std::chrono::seconds(60);
        if (isWanted && snapshot.windows.size() < 8)
            snapshot.windows.push_back(
                    WindowCounts{window, counts, isStopping || wall >= end + milliseconds(2500)});
    }
    return snapshot;
}

void UsageNode::sendUsage(const NetworkAddress &peer, const UsageSnapshot &snapshot,
                          Callback callback)
{
    UsageWorld &world = surroundings_.world;
    const UsageFaults &faults = surroundings_.faults;
    if (cuts_.isPeersCut || world.happens(faults.lostCall))
        return;
    const bool losesResponse = world.happens(faults.lostResponse);
    const auto reply = process_.wrapResponse<UsageWindow>(std::move(callback));
    milliseconds delay = world.between(milliseconds(1), milliseconds(60));
    if (world.happens(faults.lateCall))
        delay = world.between(milliseconds(500), milliseconds(4000));
    world.schedule(
            delay, [&world, peerAt = surroundings_.peerAt, peer, snapshot, reply, losesResponse]() {
                UsageNode *receiver = peerAt(peer);
                if (receiver == nullptr || receiver->cuts_.isPeersCut)
                    return;
                receiver->process_.schedule(milliseconds(0), [&world, receiver, snapshot, reply,
                                                              losesResponse]() {
                    const UsageWindow reported = receiver->reporter_.snapshotReceived(snapshot);
                    if (!losesResponse)
                        world.schedule(milliseconds(2), [reply, reported]() { reply(reported); });
                });
            });
}

void UsageNode::dutyGained(FencingToken /*token*/)
{
    ++gains;
}

void UsageNode::dutyLost(FencingToken token, const std::string &reason)
{
    surroundings_.rules.dutyLost(token);
    losses.push_back(reason);
}

void UsageNode::reportAccepted(const UsageReport &report)
{
    accepted.push_back(report);
}

void UsageNode::reportFailed(const UsageReport & /*report*/, const std::string &error)
{
    failures.push_back(error);
}

void UsageNode::reportIncomplete(UsageWindow window, const std::vector<NodeId> &missing)
{
    incomplete[window.number()] = missing;
}

void UsageNode::countsDropped(UsageWindow window)
{
    dropped.push_back(window.number());
}

} // namespace boragetrack::tests
