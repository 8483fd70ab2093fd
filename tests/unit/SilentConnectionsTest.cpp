/** The model of connections that become silent, in the simulation of restarts. */
#include "emulator/clock/EventClock.h"
#include "emulator/restarts/DataCentreCut.h"
#include "emulator/restarts/NodeCut.h"
#include "emulator/restarts/SilentLinks.h"
#include "emulator/restarts/StoreConnections.h"

#include <gtest/gtest.h>

using namespace boragetrack::emulator::restarts;
using boragetrack::emulator::clock::EventClock;

// A model that replaced all connections at once would not show what the calls after a fault cost.
TEST(StoreConnections, areUsedWhileIdleAlsoWhenTheyAreSilent)
{
    StoreConnections connections;
    const auto now = EventClock::start;
    const auto first = connections.acquire(now);
    const auto second = connections.acquire(now);
    connections.release(first, now);
    connections.release(second, now);
    connections.silence();
    EXPECT_EQ(connections.acquire(now), second);
    EXPECT_EQ(connections.acquire(now), first);
    EXPECT_TRUE(first->isSilent && second->isSilent);
    EXPECT_FALSE(connections.acquire(now)->isSilent);
}

// A silent connection costs its next call the whole time-out.
TEST(StoreConnections, areDroppedWhenTheyWereIdleForLong)
{
    StoreConnections connections;
    const auto idle = connections.acquire(EventClock::start);
    connections.release(idle, EventClock::start);
    EXPECT_NE(connections.acquire(EventClock::start + std::chrono::milliseconds(1001)), idle);
}

// A pending watch has no response to be kept by.
TEST(StoreConnections, becomeSilentWithTheirCalls)
{
    StoreConnections connections;
    const auto watch = connections.acquire(EventClock::start);
    connections.silence();
    EXPECT_TRUE(watch->isSilent);
}

// A process that started again has links of its own, which are in order.
TEST(SilentLinks, endWithTheProcessesAtTheirEnds)
{
    SilentLinks links;
    links.add({1, 2}, {true, false});
    links.add({2, 3}, {false, true});
    links.add({4, 5}, {true, true});
    links.removeAllOf(2);
    EXPECT_FALSE(links.of({1, 2}).losesRequests);
    EXPECT_FALSE(links.of({2, 3}).losesResponses);
    EXPECT_TRUE(links.of({4, 5}).losesRequests);
}

// A second fault in the other direction leaves the first one in place.
TEST(SilentLinks, addUp)
{
    SilentLinks links;
    links.add({1, 2}, {true, false});
    links.add({1, 2}, {false, true});
    EXPECT_TRUE(links.of({1, 2}).losesRequests && links.of({1, 2}).losesResponses);
    EXPECT_FALSE(links.of({2, 1}).losesRequests);
}

// Nodes of one data centre that lost each other would be another fault.
TEST(DataCentreCut, separatesItsDataCentresOnly)
{
    const DataCentreCut cut({0, 1, 3, 4}, 3);
    EXPECT_TRUE(cut.separates(0, 4));
    EXPECT_FALSE(cut.separates(0, 3));
    EXPECT_FALSE(cut.separates(0, 2));
}

TEST(NodeCut, separatesItsNodesFromEachOther)
{
    const NodeCut cut({0, 1});
    EXPECT_TRUE(cut.separates(0, 1) && cut.separates(2, 0));
    EXPECT_FALSE(cut.separates(2, 3));
}
