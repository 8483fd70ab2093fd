/** Plays changes while the store rejects the nodes that follow it or names changes to them early,
   at many moments of their rhythm, and while other nodes fail or are cut off. */
#include "emulator/restarts/ChangePlanGenerator.h"
#include "emulator/restarts/RestartRules.h"
#include "emulator/restarts/RestartSimulation.h"

#include <gtest/gtest.h>

using namespace boragetrack::emulator::restarts;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds faultLength{6000};
// Longer than the time between two proofs that no change is missing.
constexpr milliseconds phases{1800};
constexpr milliseconds phaseStep{20};

/** Returns a fleet whose followers are disturbed, with changes right after and later on. */
RestartPlan planOf(RestartFaultKind kind, milliseconds phase)
{
    RestartPlan plan;
    plan.seed = 1;
    plan.nodeCount = 10;
    plan.dataCentreCount = 3;
    const milliseconds at = milliseconds(9000) + phase;
    plan.faults = {{kind, at, faultLength, {}},
                   {RestartFaultKind::Change, at + milliseconds(1), {}, {}},
                   {RestartFaultKind::Change, at + milliseconds(2600), {}, {}},
                   {RestartFaultKind::Change, at + milliseconds(3100), {}, {}}};
    plan.length = at + faultLength + milliseconds(4000);
    return plan;
}

void expectChangesInForce(RestartFaultKind kind)
{
    for (milliseconds phase{0}; phase < phases; phase += phaseStep) {
        const RestartPlan plan = planOf(kind, phase);
        const RestartResult result = RestartSimulation(plan, false).run();
        for (const Violation &violation : result.violations)
            ADD_FAILURE() << describe(plan) << violation.at.count() << " ms: " << violation.rule
                          << ": " << violation.detail;
    }
}

// Shorter than the delay between two watches, so that no watch is pending at the second change.
constexpr milliseconds pauseAtChange{100};
constexpr milliseconds reservePhaseStep{60};
constexpr std::uint64_t reserveSeeds = 400;

/** Returns a fleet in which a disturbance begins with a change, or right after the second of two
    changes that follow each other closely. */
RestartPlan reservePlanOf(RestartFaultKind kind, milliseconds phase, bool isAfterChange,
                          const std::set<std::size_t> &nodes)
{
    RestartPlan plan;
    plan.seed = 1;
    plan.nodeCount = 10;
    plan.dataCentreCount = 3;
    const milliseconds at = milliseconds(9000) + phase;
    if (isAfterChange)
        plan.faults.push_back({RestartFaultKind::Change, at - pauseAtChange, {}, {}});
    plan.faults.push_back({RestartFaultKind::Change, at, {}, {}});
    plan.faults.push_back({kind, at + milliseconds(isAfterChange ? 1 : 0), faultLength, nodes});
    plan.length = at + faultLength + milliseconds(4000);
    return plan;
}

void expectReserve(const RestartPlan &plan)
{
    for (const ChangeDelay &change : RestartSimulation(plan, false).run().changeDelays)
        EXPECT_FALSE(exceedsReserve(change)) << describe(plan) << change.delay.count() << " ms";
}

void expectReserve(RestartFaultKind kind, const std::set<std::size_t> &nodes = {})
{
    for (milliseconds phase{0}; phase < phases; phase += reservePhaseStep) {
        expectReserve(reservePlanOf(kind, phase, false, nodes));
        expectReserve(reservePlanOf(kind, phase, true, nodes));
    }
}

} // namespace

TEST(ChangeInForce, isInTimeWhileTheStoreIsSilentForAllFollowers)
{
    expectChangesInForce(RestartFaultKind::SilentForFollowers);
}

TEST(ChangeInForce, isInTimeWhileTheStoreRejectsAllFollowersAndLosesTheirWatches)
{
    expectChangesInForce(RestartFaultKind::RejectedFollowers);
}

TEST(ChangeInForce, isInTimeWhileTheStoreNamesChangesThatItsResponsesLeaveOut)
{
    expectChangesInForce(RestartFaultKind::EarlyForFollowers);
}

TEST(ChangeInForce, keepsTheReserveWhileTheStoreIsSilentForAllFollowers)
{
    expectReserve(RestartFaultKind::SilentForFollowers);
}

TEST(ChangeInForce, keepsTheReserveWhileTheStoreRejectsAllFollowers)
{
    expectReserve(RestartFaultKind::RejectedFollowers);
}

TEST(ChangeInForce, keepsTheReserveWhileTheStoreIsSilentAndEndsTheWatches)
{
    expectReserve(RestartFaultKind::SilentWithLostWatches);
}

TEST(ChangeInForce, keepsTheReserveWhileTheStoreRejectsFollowersAndEndsTheirWatches)
{
    expectReserve(RestartFaultKind::RefusedWithLostWatches);
}

TEST(ChangeInForce, keepsTheReserveWhileTheStoreRejectsFollowersAndKeepsTheirWatches)
{
    expectReserve(RestartFaultKind::RefusedWithKeptWatches);
}

TEST(ChangeInForce, keepsTheReserveWhileTheProberIsKilled)
{
    expectReserve(RestartFaultKind::KilledProber);
}

TEST(ChangeInForce, keepsTheReserveWhileTheProberIsFrozen)
{
    expectReserve(RestartFaultKind::FrozenProber);
}

TEST(ChangeInForce, keepsTheReserveWhileANodeReachesTheStoreOnly)
{
    expectReserve(RestartFaultKind::NodesApart, {4});
}

// Longer runs are started by hand with build/bench-restarts --changes.
TEST(ChangeInForce, keepsTheReserveInRandomOrdersOfTwoDisturbances)
{
    for (std::uint64_t seed = 1; seed <= reserveSeeds; ++seed)
        expectReserve(ChangePlanGenerator(seed).draw());
}
