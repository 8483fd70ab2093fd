/** Plays random orders of restarts, outages of the store, cuts and changes with the control state
   of nodes, and checks what must hold across them. */
#include "emulator/restarts/RestartSimulation.h"
#include "emulator/restarts/PlanGenerator.h"
#include "emulator/restarts/PlanShrinker.h"
#include "emulator/restarts/RestartRules.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace boragetrack::emulator::restarts;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t seedCount = 400;

std::string describe(const std::vector<Violation> &violations)
{
    std::string text;
    for (const Violation &violation : violations)
        text += std::to_string(violation.at.count()) + " ms: " + violation.rule + ": "
                + violation.detail + "\n";
    return text;
}

} // namespace

// Longer runs are started by hand with build/bench-restarts.
TEST(RestartSimulation, keepsTheGuaranteesInRandomOrdersOfEvents)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        const RestartPlan plan = PlanGenerator(seed).draw();
        const RestartResult result = RestartSimulation(plan, false).run();
        EXPECT_TRUE(result.violations.empty())
                << describe(plan) << describe(result.violations)
                << "build/bench-restarts --log --seed " << seed << " shows what the nodes log";
    }
}

TEST(RestartSimulation, givesTheSameResultForTheSamePlan)
{
    const RestartPlan plan = PlanGenerator(firstSeed).draw();
    RestartSimulation first(plan, true);
    RestartSimulation second(plan, true);
    first.run();
    second.run();
    EXPECT_FALSE(first.log().empty());
    EXPECT_EQ(first.log(), second.log());
}

TEST(PlanShrinker, leavesOnlyWhatTheConditionNeeds)
{
    const auto killsNodeThreeDuringAnOutage = [](const RestartPlan &plan) {
        const bool hasOutage
                = std::any_of(plan.faults.begin(), plan.faults.end(), [](const auto &fault) {
                      return fault.kind == RestartFaultKind::BusyStore;
                  });
        return hasOutage
               && std::any_of(plan.faults.begin(), plan.faults.end(), [](const auto &fault) {
                      return fault.kind == RestartFaultKind::Kill && fault.nodes.contains(3);
                  });
    };
    RestartPlan plan;
    plan.faults = {{RestartFaultKind::Change, milliseconds(10), {}, {}},
                   {RestartFaultKind::BusyStore, milliseconds(20), milliseconds(500), {0, 1}},
                   {RestartFaultKind::Kill, milliseconds(30), milliseconds(50), {1, 3, 4}},
                   {RestartFaultKind::Kill, milliseconds(40), milliseconds(50), {2}}};
    const RestartPlan shrunk = shrink(plan, killsNodeThreeDuringAnOutage);
    ASSERT_EQ(shrunk.faults.size(), 2U);
    EXPECT_EQ(shrunk.faults[0].nodes.size(), 1U);
    EXPECT_EQ(shrunk.faults[1].nodes, std::set<std::size_t>{3});
}
