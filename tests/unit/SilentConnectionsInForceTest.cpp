/** Plays changes after connections and links have become silent. */
#include "emulator/restarts/ConnectionPlanGenerator.h"
#include "emulator/restarts/RestartSimulation.h"

#include <gtest/gtest.h>

using namespace boragetrack::emulator::restarts;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t seedCount = 400;
constexpr milliseconds never{60'000};

/** Returns the fleet of a seed with other events. */
RestartPlan planOf(std::uint64_t seed, std::vector<RestartFault> faults)
{
    RestartPlan plan = ConnectionPlanGenerator(seed).draw();
    plan.faults = std::move(faults);
    return plan;
}

void expectChangesInForce(const RestartPlan &plan)
{
    const RestartResult result = RestartSimulation(plan, false).run();
    for (const Violation &violation : result.violations)
        ADD_FAILURE() << describe(plan) << violation.at.count() << " ms: " << violation.rule << ": "
                      << violation.detail;
}

} // namespace

// Exchanges and fetches went to the silent links again and again.
TEST(SilentConnectionsInForce, areMadeUpForByNewLinksOfARejectedFollower)
{
    expectChangesInForce(planOf(
            111,
            {{RestartFaultKind::SilentLinksOneWay, milliseconds(17'599), never, {9}},
             {RestartFaultKind::SilentForFollowers, milliseconds(18'365), milliseconds(5893), {}},
             {RestartFaultKind::Change, milliseconds(19'131), {}, {}}}));
}

// The kernel ends a silent link after three seconds, when the node already counts as in touch.
TEST(SilentConnectionsInForce, doNotWaitForTheKernelToEndALink)
{
    expectChangesInForce(planOf(
            16, {{RestartFaultKind::RejectedFollowers, milliseconds(6970), milliseconds(6990), {}},
                 {RestartFaultKind::Change, milliseconds(8292), {}, {}},
                 {RestartFaultKind::SilentLinksOneWay, milliseconds(9824), milliseconds(3000), {8}},
                 {RestartFaultKind::Change, milliseconds(10'790), {}, {}}}));
}

// The first calls of a node that begins to follow took connections that had long been silent.
TEST(SilentConnectionsInForce, areNotUsedAgainAfterTheyWereIdle)
{
    expectChangesInForce(planOf(
            499, {{RestartFaultKind::SilentConnections, milliseconds(7627), {}, {1}},
                  {RestartFaultKind::NodesApart, milliseconds(9728), milliseconds(5826), {1}},
                  {RestartFaultKind::Change, milliseconds(9799), {}, {}}}));
}

// Nodes relied on a follower whose own proof was as old as the time for which it covers others.
TEST(SilentConnectionsInForce, isInTimeBehindSilentConnectionsOfFollowersAndTwoCuts)
{
    expectChangesInForce(ConnectionPlanGenerator(1957).draw());
}

// Longer runs are started by hand with build/bench-restarts --connections.
TEST(SilentConnectionsInForce, isInTimeInRandomOrdersOfEvents)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed)
        expectChangesInForce(ConnectionPlanGenerator(seed).draw());
}
