/** Tests that a cut data centre is noticed from a few calls, and tried again until it is back. */
#include "traffic/routing/DataCentreReachability.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using core::identity::DataCentreId;
using core::identity::NodeId;
using core::timing::MonotonicTime;
using std::chrono::milliseconds;
using traffic::routing::DataCentreReachability;

namespace {

const DataCentreId there("lekki");
const MonotonicTime start = MonotonicTime{} + std::chrono::hours(1);
constexpr milliseconds connectTime{250};

/** Sends calls to a data centre of many nodes that is cut off for a while, one each 5 ms, each to
    another node, unless it is known to be silent. @returns how many met silence */
int callsThatMetSilence(DataCentreReachability &reach, milliseconds cut, milliseconds length)
{
    struct Pending
    {
        MonotonicTime end;
        NodeId node;
    };
    std::vector<Pending> pending;
    int met = 0;
    for (milliseconds time{0}; time < length; time += milliseconds(5)) {
        const MonotonicTime now = start + time;
        while (!pending.empty() && pending.front().end <= now) {
            reach.recordFailure(there, pending.front().node, connectTime, now);
            pending.erase(pending.begin());
        }
        if (reach.isCutOff(there, now))
            continue;
        reach.recordAttempt(there, now);
        if (time >= cut) {
            reach.recordResponse(there);
            continue;
        }
        pending.push_back({now + connectTime, NodeId(std::to_string(time.count()))});
        ++met;
    }
    return met;
}

class CountingListener : public DataCentreReachability::Listener
{
public:
    void dataCentreCutOff(const DataCentreId & /*dataCentre*/, std::size_t /*silentNodes*/,
                          std::chrono::nanoseconds /*waited*/) override
    {
        ++cuts;
    }

    void dataCentreRecovered(const DataCentreId & /*dataCentre*/) override { ++answers; }

    int cuts = 0;
    int answers = 0;
};

} // namespace

// The log tells of a cut and of its end, once each.
TEST(DataCentreReachability, tellsOnceOfACutAndOfItsEnd)
{
    DataCentreReachability reach;
    CountingListener listener;
    reach.setListener(&listener);
    for (const char *node : {"a", "a", "b", "c"})
        reach.recordFailure(there, NodeId(node), connectTime, start);
    reach.recordResponse(there);
    reach.recordResponse(there);
    reach.recordFailure(there, NodeId("a"), connectTime, start);
    reach.recordResponse(there);
    EXPECT_EQ(listener.cuts, 1);
    EXPECT_EQ(listener.answers, 1);
}

TEST(DataCentreReachability, spendsFewCallsOnACut)
{
    DataCentreReachability reach;
    constexpr milliseconds cut{6000};
    // Those begun before the first two failed, and then one for each trial period.
    const auto bound = (connectTime + milliseconds(10)) / milliseconds(5)
                       + cut / DataCentreReachability::probeInterval + 1;
    EXPECT_LE(callsThatMetSilence(reach, cut, milliseconds(8000)), bound);
    EXPECT_FALSE(reach.isCutOff(there, start + milliseconds(8000))) << "it answered again";
}

TEST(DataCentreReachability, doesNotTakeOneLostNodeForACut)
{
    DataCentreReachability reach;
    for (int i = 0; i < 5; ++i)
        reach.recordFailure(there, NodeId("one"), connectTime, start);
    EXPECT_FALSE(reach.isCutOff(there, start));
}

TEST(DataCentreReachability, doesNotTakeRefusedConnectionsForACut)
{
    DataCentreReachability reach;
    for (const char *node : {"one", "two", "three"})
        reach.recordFailure(there, NodeId(node), milliseconds(1), start);
    EXPECT_FALSE(reach.isCutOff(there, start));
}

TEST(DataCentreReachability, forgetsSilenceWithTheFirstAnswer)
{
    DataCentreReachability reach;
    for (const char *node : {"one", "two"})
        reach.recordFailure(there, NodeId(node), connectTime, start);
    EXPECT_TRUE(reach.isCutOff(there, start));
    reach.recordResponse(there);
    EXPECT_FALSE(reach.isCutOff(there, start));
    reach.recordFailure(there, NodeId("three"), connectTime, start);
    EXPECT_FALSE(reach.isCutOff(there, start));
}
