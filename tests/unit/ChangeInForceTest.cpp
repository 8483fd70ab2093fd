/** Plays changes while the store rejects the nodes that follow it or names changes to them early,
   at many moments of their rhythm. */
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
