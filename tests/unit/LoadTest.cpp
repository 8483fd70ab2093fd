/** Simulates load plans with the policies of nodes and checks the results of callers. */
#include "core/findings/SchemaValidator.h"
#include "core/findings/TextFile.h"
#include "emulator/emulator.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using emulator::plan::LoadPlan;
using emulator::results::LoadResults;
using emulator::simulation::LoadSimulation;

namespace {

LoadPlan readPlan(const std::string &name)
{
    const std::string path = std::string(SOURCE_DIRECTORY) + "/bench/load/plans/" + name + ".json";
    core::findings::FindingList findings(path);
    const auto text = core::findings::readTextFile(path);
    auto plan = emulator::plan::readLoadPlan(core::findings::parseJson(text.value_or(""), findings),
                                             findings);
    EXPECT_TRUE(plan) << findings.toString();
    return plan.value_or(LoadPlan{});
}

constexpr std::uint64_t firstSeed = 11;
constexpr int runs = 3;

/** Returns the mean of a figure over several runs with fixed seeds. */
template <typename Figure>
double mean(const LoadPlan &plan, const emulator::policies::PolicySet &policies, Figure figure)
{
    double sum = 0.0;
    for (int i = 0; i < runs; ++i) {
        LoadSimulation simulation(plan, policies, firstSeed + static_cast<std::uint64_t>(i));
        sum += figure(simulation.run());
    }
    return sum / runs;
}

double valueShare(const LoadResults &results)
{
    return results.total().valueShare();
}

double fractionOfRequests(const LoadResults &results, int requests)
{
    return static_cast<double>(requests) / results.total().requests;
}

const emulator::policies::StandardPolicies standard;
const emulator::policies::TwoChoicesPolicies twoChoices;
const emulator::policies::UrgencyPolicies urgencyFirst;
const emulator::policies::BaselinePolicies baseline;

} // namespace

TEST(Load, givesTheSameResultsForTheSameSeed)
{
    const LoadPlan plan = readPlan("shed-12");
    LoadSimulation first(plan, standard, firstSeed);
    LoadSimulation second(plan, standard, firstSeed);
    EXPECT_EQ(toJson(first.run()).dump(), toJson(second.run()).dump());
}

TEST(Load, recordsOneOutcomeForEachRequest)
{
    const LoadPlan plan = readPlan("shed-12");
    LoadSimulation simulation(plan, standard, firstSeed);
    const auto &counts = simulation.run().total();
    EXPECT_EQ(counts.requests, counts.inTime + counts.late + counts.refused + counts.failed);
    EXPECT_GT(counts.requests, 1000);
}

// With enough capacity, admission control must not refuse requests.
TEST(Load, refusesAlmostNoRequestUnderModerateLoad)
{
    for (const char *name : {"calm-12", "calm-72"}) {
        const LoadPlan plan = readPlan(name);
        const auto refused = [](const LoadResults &results) {
            return fractionOfRequests(results, results.total().refused);
        };
        EXPECT_LT(mean(plan, standard, refused), 0.001) << name;
    }
}

// With bursts, a slow upstream, a crash, immediate retries and a shift between data centres, the
// standard policies deliver more value than two-choices routing, and that more than the baseline.
TEST(Load, deliversMoreValueUnderHeavyLoadThanOtherPolicies)
{
    for (const char *name : {"heavy-12", "heavy-72"}) {
        const LoadPlan plan = readPlan(name);
        const double withStandard = mean(plan, standard, valueShare);
        const double withTwoChoices = mean(plan, twoChoices, valueShare);
        EXPECT_GT(withStandard, withTwoChoices) << name;
        EXPECT_GT(withTwoChoices, mean(plan, baseline, valueShare)) << name;
    }
}

// Many nodes that route by the same load reports must not all choose the same endpoint: it would
// refuse calls while other endpoints have capacity, which shows as retries.
TEST(Load, doesNotOverloadTheLeastLoadedEndpointOfALargeDeployment)
{
    const LoadPlan plan = readPlan("heavy-72");
    const auto retryShare = [](const LoadResults &results) {
        return static_cast<double>(results.retries()) / results.attempts();
    };
    EXPECT_LT(mean(plan, standard, retryShare), mean(plan, twoChoices, retryShare) / 2.0);
}

// An upstream that immediately sheds half of its calls appears to have little load; routing must
// count these calls as failures.
TEST(Load, avoidsUpstreamsThatShed)
{
    const LoadPlan plan = readPlan("shed-12");
    EXPECT_GT(mean(plan, standard, valueShare), mean(plan, twoChoices, valueShare));
}

// One upstream is left of a service that handles purchases and nested calls of views: running views
// must not fail because purchases fill the queue.
TEST(Load, failsFewerRunningRequestsWhenAServiceIsScarce)
{
    const LoadPlan plan = readPlan("scarce-12");
    const auto failedViews = [](const LoadResults &results) {
        return static_cast<double>(results.byKind().at("view").failed);
    };
    EXPECT_LT(mean(plan, standard, failedViews), mean(plan, baseline, failedViews) / 2.0);
}

// Calls stay in their data centre where it can serve them, which reduces cross-data-centre traffic.
TEST(Load, sendsFewerBytesBetweenDataCentresThanTheBaseline)
{
    for (const char *name : {"calm-12", "heavy-12", "heavy-72"}) {
        const LoadPlan plan = readPlan(name);
        const auto bytes = [](const LoadResults &results) {
            return static_cast<double>(results.crossDataCentreBytes());
        };
        EXPECT_LT(mean(plan, standard, bytes), mean(plan, baseline, bytes) / 2.0) << name;
    }
}

// One organisation sends 17 of 20 requests, together more than twice what the upstreams can take.
// The others demand less than an equal share and must not be refused for it.
TEST(Load, servesOrganisationsWithinTheirShareWhileAnotherFloods)
{
    const LoadPlan plan = readPlan("flood-12");
    const emulator::policies::PolicySet *const sets[] = {&standard, &urgencyFirst};
    for (const auto *policies : sets) {
        LoadSimulation simulation(plan, *policies, firstSeed);
        const auto &counts = simulation.run().byOrganisation();
        for (const char *name : {"small-1", "small-2", "small-3"}) {
            const auto &small = counts.at(name);
            EXPECT_LT(small.refused + small.failed, 0.03 * small.requests)
                    << policies->name() << " " << name;
            EXPECT_GT(small.valueShare(), 0.88) << policies->name() << " " << name;
        }
        EXPECT_GT(counts.at("flood").valueShare(), 0.45) << policies->name();
    }
}

namespace {

double purchaseShare(const LoadResults &results)
{
    return results.byKind().at("purchase").valueShare();
}

} // namespace

// Views, the least urgent kind, make nested calls of the service that runs purchases. If these
// always run first, purchases are served worse than they could be.
TEST(Load, servesUrgentKindsBetterWithUrgencyFirst)
{
    const LoadPlan plan = readPlan("heavy-12");
    EXPECT_GT(mean(plan, urgencyFirst, purchaseShare), mean(plan, standard, purchaseShare) + 0.03);
}

// Putting urgent requests first must cost others no more than it gives the urgent ones.
TEST(Load, deliversNearlyTheSameValueWithUrgencyFirst)
{
    const LoadPlan plan = readPlan("heavy-12");
    EXPECT_GT(mean(plan, urgencyFirst, valueShare), mean(plan, standard, valueShare) - 0.015);
}

// One upstream is left of the service of purchases and of the nested calls of views.
TEST(Load, servesUrgentKindsBetterThanOthersWhenTheirServiceIsScarce)
{
    const LoadPlan plan = readPlan("scarce-12");
    LoadSimulation simulation(plan, urgencyFirst, firstSeed);
    const auto &counts = simulation.run().byKind();
    EXPECT_GT(counts.at("purchase").valueShare(), counts.at("view").valueShare());
}

TEST(LoadPlanReader, reportsTheLocationsOfFindings)
{
    core::findings::FindingList findings("plan");
    auto object = nlohmann::json::parse(R"({"name": "x",
      "dataCentres": [{"name": "a", "rate": 1, "mix": {"none": 1}}],
      "services": [{"name": "s", "upstreams": 1, "slots": 1}],
      "kinds": [{"name": "k", "service": "other", "workMs": 1, "calls": [{"kind": "k"}]}],
      "troubles": [{"kind": "slow", "atMs": 0, "lengthMs": 1, "where": "nowhere"}]})");
    EXPECT_FALSE(emulator::plan::readLoadPlan(object, findings));
    for (const char *location :
         {"/dataCentres/0/mix", "/kinds/0/service", "/kinds/0/calls", "/troubles/0/where"})
        EXPECT_NE(findings.toString().find(location), std::string::npos) << location;
}
