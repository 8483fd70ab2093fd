/** Plays days of load through the decisions of nodes and checks what callers get. */
#include "core/findings/SchemaValidator.h"
#include "core/findings/TextFile.h"
#include "emulator/emulator.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using emulator::account::CreditAccount;
using emulator::day::EmulatedDay;
using emulator::plan::LoadPlan;

namespace {

LoadPlan planNamed(const std::string &name)
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
constexpr int days = 3;

/** The mean of some figure over a few days with fixed seeds. */
template <typename Figure>
double mean(const LoadPlan &plan, const emulator::policies::PolicySet &policies, Figure figure)
{
    double sum = 0.0;
    for (int i = 0; i < days; ++i) {
        EmulatedDay day(plan, policies, firstSeed + static_cast<std::uint64_t>(i));
        sum += figure(day.play());
    }
    return sum / days;
}

double shareOfWorth(const CreditAccount &account)
{
    return account.day().share();
}

double partOfDay(const CreditAccount &account, int requests)
{
    return static_cast<double>(requests) / account.day().asked;
}

const emulator::policies::PresentPolicies present;
const emulator::policies::FormerPolicies former;
const emulator::policies::SimplePolicies simple;

} // namespace

TEST(Load, playsTheSameDayAgainFromItsSeed)
{
    const LoadPlan plan = planNamed("shed-12");
    EmulatedDay first(plan, present, firstSeed);
    EmulatedDay second(plan, present, firstSeed);
    EXPECT_EQ(toJson(first.play()).dump(), toJson(second.play()).dump());
}

TEST(Load, endsEachRequestOnce)
{
    const LoadPlan plan = planNamed("shed-12");
    EmulatedDay day(plan, present, firstSeed);
    const auto &line = day.play().day();
    EXPECT_EQ(line.asked, line.inTime + line.late + line.refused + line.failed);
    EXPECT_GT(line.asked, 1000);
}

// On a calm day nobody is refused for want of room.
TEST(Load, refusesNobodyOnACalmDay)
{
    for (const char *name : {"calm-12", "calm-72"}) {
        const LoadPlan plan = planNamed(name);
        const auto refused = [](const CreditAccount &account) {
            return partOfDay(account, account.day().refused);
        };
        EXPECT_LT(mean(plan, present, refused), 0.001) << name;
    }
}

// Bursts, a slow upstream, a crash, repeaters and a shift: callers get more than with the policies
// before, and those get more than with the baseline.
TEST(Load, earnsMoreOnHeavyDaysThanOtherPolicies)
{
    for (const char *name : {"heavy-12", "heavy-72"}) {
        const LoadPlan plan = planNamed(name);
        const double withPresent = mean(plan, present, shareOfWorth);
        const double withFormer = mean(plan, former, shareOfWorth);
        EXPECT_GT(withPresent, withFormer) << name;
        EXPECT_GT(withFormer, mean(plan, simple, shareOfWorth)) << name;
    }
}

// Many nodes that choose by the same reports must not all choose the same endpoint: calls would be
// turned away there while others have room.
TEST(Load, doesNotFloodTheFreestEndpointOfALargeDeployment)
{
    const LoadPlan plan = planNamed("heavy-72");
    const auto repeats = [](const CreditAccount &account) {
        return static_cast<double>(account.repeats()) / account.attempts();
    };
    EXPECT_LT(mean(plan, present, repeats), mean(plan, former, repeats) / 2.0);
}

// An upstream that turns away half of its calls at once looks free; its failures must count.
TEST(Load, avoidsUpstreamsThatShed)
{
    const LoadPlan plan = planNamed("shed-12");
    EXPECT_GT(mean(plan, present, shareOfWorth), mean(plan, former, shareOfWorth));
}

// One upstream is left of a service that purchases and the lookups of views need: views that run
// must not fail because the queue is full of purchases.
TEST(Load, failsFewerRunningRequestsWhenAServiceIsScarce)
{
    const LoadPlan plan = planNamed("scarce-12");
    const auto failedViews = [](const CreditAccount &account) {
        return static_cast<double>(account.kinds().at("view").failed);
    };
    EXPECT_LT(mean(plan, present, failedViews), mean(plan, simple, failedViews) / 2.0);
}

// Calls stay in their data centre where that serves them, which saves bytes between data centres.
TEST(Load, crossesDataCentresLessThanOtherPolicies)
{
    for (const char *name : {"calm-12", "heavy-12", "heavy-72"}) {
        const LoadPlan plan = planNamed(name);
        const auto bytes = [](const CreditAccount &account) {
            return static_cast<double>(account.crossedBytes());
        };
        EXPECT_LT(mean(plan, present, bytes), mean(plan, simple, bytes) / 2.0) << name;
    }
}

TEST(LoadPlanReader, namesThePlacesOfFaults)
{
    core::findings::FindingList findings("plan");
    auto object = nlohmann::json::parse(R"({"name": "x",
      "dataCentres": [{"name": "a", "rate": 1, "mix": {"none": 1}}],
      "services": [{"name": "s", "upstreams": 1, "slots": 1}],
      "kinds": [{"name": "k", "service": "other", "workMs": 1, "calls": [{"kind": "k"}]}],
      "troubles": [{"kind": "slow", "atMs": 0, "lengthMs": 1, "where": "nowhere"}]})");
    EXPECT_FALSE(emulator::plan::readLoadPlan(object, findings));
    for (const char *place :
         {"/dataCentres/0/mix", "/kinds/0/service", "/kinds/0/calls", "/troubles/0/where"})
        EXPECT_NE(findings.toString().find(place), std::string::npos) << place;
}
