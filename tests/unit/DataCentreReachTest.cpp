/** Tests that a cut data centre is noticed from a few calls, and tried again until it is back. */
#include "traffic/routing/DataCentreReach.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using core::identity::DataCentreId;
using core::identity::NodeId;
using core::timing::MonotonicTime;
using std::chrono::milliseconds;
using traffic::routing::DataCentreReach;

namespace {

const DataCentreId there("lekki");
const MonotonicTime start = MonotonicTime{} + std::chrono::hours(1);
constexpr milliseconds connectTime{250};

/** Sends calls to a data centre of many nodes that is cut off for a while, one each 5 ms, each to
    another node, unless it is known to be silent. @returns how many met silence */
int callsThatMetSilence(DataCentreReach &reach, milliseconds cut, milliseconds length)
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
            reach.failed(there, pending.front().node, connectTime, now);
            pending.erase(pending.begin());
        }
        if (reach.isSilent(there, now))
            continue;
        reach.begin(there, now);
        if (time >= cut) {
            reach.answered(there);
            continue;
        }
        pending.push_back({now + connectTime, NodeId(std::to_string(time.count()))});
        ++met;
    }
    return met;
}

class CountingListener : public DataCentreReach::Listener
{
public:
    void dataCentreCutOff(const DataCentreId & /*dataCentre*/, std::size_t /*silentNodes*/,
                          std::chrono::nanoseconds /*waited*/) override
    {
        ++cuts;
    }

    void dataCentreAnswered(const DataCentreId & /*dataCentre*/) override { ++answers; }

    int cuts = 0;
    int answers = 0;
};

} // namespace

// The log tells of a cut and of its end, once each.
TEST(DataCentreReach, tellsOnceOfACutAndOfItsEnd)
{
    DataCentreReach reach;
    CountingListener listener;
    reach.setListener(&listener);
    for (const char *node : {"a", "a", "b", "c"})
        reach.failed(there, NodeId(node), connectTime, start);
    reach.answered(there);
    reach.answered(there);
    reach.failed(there, NodeId("a"), connectTime, start);
    reach.answered(there);
    EXPECT_EQ(listener.cuts, 1);
    EXPECT_EQ(listener.answers, 1);
}

TEST(DataCentreReach, spendsFewCallsOnACut)
{
    DataCentreReach reach;
    constexpr milliseconds cut{6000};
    // Those begun before the first two failed, and then one for each trial period.
    const auto bound = (connectTime + milliseconds(10)) / milliseconds(5)
                       + cut / DataCentreReach::trialPeriod + 1;
    EXPECT_LE(callsThatMetSilence(reach, cut, milliseconds(8000)), bound);
    EXPECT_FALSE(reach.isSilent(there, start + milliseconds(8000))) << "it answered again";
}

TEST(DataCentreReach, doesNotTakeOneLostNodeForACut)
{
    DataCentreReach reach;
    for (int i = 0; i < 5; ++i)
        reach.failed(there, NodeId("one"), connectTime, start);
    EXPECT_FALSE(reach.isSilent(there, start));
}

TEST(DataCentreReach, doesNotTakeRefusedConnectionsForACut)
{
    DataCentreReach reach;
    for (const char *node : {"one", "two", "three"})
        reach.failed(there, NodeId(node), milliseconds(1), start);
    EXPECT_FALSE(reach.isSilent(there, start));
}

TEST(DataCentreReach, forgetsSilenceWithTheFirstAnswer)
{
    DataCentreReach reach;
    for (const char *node : {"one", "two"})
        reach.failed(there, NodeId(node), connectTime, start);
    EXPECT_TRUE(reach.isSilent(there, start));
    reach.answered(there);
    EXPECT_FALSE(reach.isSilent(there, start));
    reach.failed(there, NodeId("three"), connectTime, start);
    EXPECT_FALSE(reach.isSilent(there, start));
}
