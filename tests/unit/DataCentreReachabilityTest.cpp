/** Tests that a partition from a data centre is detected from a few calls, and that probes detect
    its end. */
#include "traffic/routing/DataCentreReachability.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using core::identity::DataCentreId;
using core::identity::NodeId;
using core::timing::MonotonicTime;
using std::chrono::milliseconds;
using traffic::routing::DataCentreReachability;

namespace {

const DataCentreId remote("lekki");
const MonotonicTime start = MonotonicTime{} + std::chrono::hours(1);
constexpr milliseconds connectTime{250};

/** Sends a call every 5 ms to a data centre of many nodes, each to another node, except while the
    data centre counts as cut off. @param outage how long no node responds @param length how long
    calls are sent @returns the number of calls without a response */
int callsWithoutResponse(DataCentreReachability &reachability, milliseconds outage,
                         milliseconds length)
{
    struct Pending
    {
        MonotonicTime end;
        NodeId node;
    };
    std::vector<Pending> pending;
    int silentCalls = 0;
    for (milliseconds time{0}; time < length; time += milliseconds(5)) {
        const MonotonicTime now = start + time;
        while (!pending.empty() && pending.front().end <= now) {
            reachability.recordFailure(remote, pending.front().node, connectTime, now);
            pending.erase(pending.begin());
        }
        if (reachability.isCutOff(remote, now))
            continue;
        reachability.recordAttempt(remote, now);
        if (time >= outage) {
            reachability.recordResponse(remote);
            continue;
        }
        pending.push_back({now + connectTime, NodeId(std::to_string(time.count()))});
        ++silentCalls;
    }
    return silentCalls;
}

class CountingListener : public DataCentreReachability::Listener
{
public:
    void dataCentreCutOff(const DataCentreId & /*dataCentre*/, std::size_t /*silentNodes*/,
                          std::chrono::nanoseconds /*waited*/) override
    {
        ++outages;
    }

    void dataCentreRecovered(const DataCentreId & /*dataCentre*/) override { ++recoveries; }

    int outages = 0;
    int recoveries = 0;
};

} // namespace

// Guards against repeated log lines for one partition, and against a recovery that is reported
// without a partition before it.
TEST(DataCentreReachability, notifiesOnceOfAPartitionAndOfItsEnd)
{
    DataCentreReachability reachability;
    CountingListener listener;
    reachability.setListener(&listener);
    for (const char *node : {"a", "a", "b", "c"})
        reachability.recordFailure(remote, NodeId(node), connectTime, start);
    reachability.recordResponse(remote);
    reachability.recordResponse(remote);
    reachability.recordFailure(remote, NodeId("a"), connectTime, start);
    reachability.recordResponse(remote);
    EXPECT_EQ(listener.outages, 1);
    EXPECT_EQ(listener.recoveries, 1);
}

TEST(DataCentreReachability, losesFewCallsToAPartition)
{
    DataCentreReachability reachability;
    constexpr milliseconds outage{6000};
    // The calls that started before the first two failed, and then one per probe interval.
    const auto bound = (connectTime + milliseconds(10)) / milliseconds(5)
                       + outage / DataCentreReachability::probeInterval + 1;
    EXPECT_LE(callsWithoutResponse(reachability, outage, milliseconds(8000)), bound);
    EXPECT_FALSE(reachability.isCutOff(remote, start + milliseconds(8000))) << "it responds again";
}

TEST(DataCentreReachability, doesNotTakeOneLostNodeForAPartition)
{
    DataCentreReachability reachability;
    for (int i = 0; i < 5; ++i)
        reachability.recordFailure(remote, NodeId("one"), connectTime, start);
    EXPECT_FALSE(reachability.isCutOff(remote, start));
}

TEST(DataCentreReachability, doesNotTakeRefusedConnectionsForAPartition)
{
    DataCentreReachability reachability;
    for (const char *node : {"one", "two", "three"})
        reachability.recordFailure(remote, NodeId(node), milliseconds(1), start);
    EXPECT_FALSE(reachability.isCutOff(remote, start));
}

TEST(DataCentreReachability, recoversWithTheFirstResponse)
{
    DataCentreReachability reachability;
    for (const char *node : {"one", "two"})
        reachability.recordFailure(remote, NodeId(node), connectTime, start);
    EXPECT_TRUE(reachability.isCutOff(remote, start));
    reachability.recordResponse(remote);
    EXPECT_FALSE(reachability.isCutOff(remote, start));
    reachability.recordFailure(remote, NodeId("three"), connectTime, start);
    EXPECT_FALSE(reachability.isCutOff(remote, start));
}
