/** Plays random faults against several reporters and checks what must hold under all of them. */
#include "UsageFleet.h"
#include "control/usage/UsageCollector.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::usage;
using std::chrono::milliseconds;
using tests::UsageFleet;
using tests::UsageNode;

namespace {

constexpr std::size_t nodeCount = 5;

/** Chooses faults at random and ends them at random. */
class RandomFaults
{
public:
    explicit RandomFaults(UsageFleet &fleet)
        : fleet_(fleet)
    {}

    void step()
    {
        const std::size_t place = fleet_.world.below(nodeCount);
        UsageNode *node = fleet_.node(place);
        switch (fleet_.world.below(12)) {
        case 0:
            if (node != nullptr)
                fleet_.crash(place);
            break;
        case 1:
        case 2:
            if (node == nullptr)
                fleet_.start(place);
            break;
        case 3:
            if (node != nullptr)
                node->process().pause();
            break;
        case 4:
        case 5:
            if (node != nullptr && node->process().isPaused())
                node->process().resume();
            break;
        case 6:
            setCuts(place);
            break;
        case 7:
            fleet_.faults.isStoreOut = fleet_.world.happens(0.4);
            break;
        case 8:
            fleet_.faults.isReceiverOut = fleet_.world.happens(0.4);
            break;
        case 9:
            setRates();
            break;
        case 10:
            disturbHolder();
            break;
        default:
            if (fleet_.world.happens(0.3))
                fleet_.store.expireAll();
            break;
        }
    }

    void heal()
    {
        fleet_.faults = {};
        for (std::size_t place = 0; place < nodeCount; ++place) {
            fleet_.cuts[place] = {};
            if (fleet_.node(place) == nullptr)
                fleet_.start(place);
            else if (fleet_.node(place)->process().isPaused())
                fleet_.node(place)->process().resume();
        }
    }

private:
    void setCuts(std::size_t place)
    {
        fleet_.cuts[place].isStoreCut = fleet_.world.happens(0.3);
        fleet_.cuts[place].isReceiverCut = fleet_.world.happens(0.3);
        fleet_.cuts[place].isPeersCut = fleet_.world.happens(0.3);
    }

    void setRates()
    {
        const auto rate = [this]() { return fleet_.world.happens(0.5) ? 0 : 0.25; };
        fleet_.faults.lostResponse = rate();
        fleet_.faults.lostCall = rate() / 2;
        fleet_.faults.lateCall = rate();
        fleet_.faults.refusedCall = rate() / 2;
    }

    void disturbHolder()
    {
        const auto holder = fleet_.holder();
        if (!holder)
            return;
        if (fleet_.world.happens(0.5))
            fleet_.node(*holder)->process().pause();
        else
            fleet_.crash(*holder);
    }

    UsageFleet &fleet_;
};

// Returns whether a window was reported, or was older than unreported windows are kept when the
// next one was.
bool isReportedOrExpired(const UsageFleet &fleet, std::uint64_t window)
{
    const auto found = fleet.receiver.acceptedAt.lower_bound(window);
    if (found == fleet.receiver.acceptedAt.end())
        return false;
    return found->first == window
           || found->second >= fleet.endOf(window) + UsageCollector::retention;
}

// Checks that every window that a live process counted in was reported.
void expectAllReported(UsageFleet &fleet)
{
    ASSERT_FALSE(fleet.receiver.accepted.empty());
    const std::uint64_t last = fleet.windowEndedBefore(milliseconds(12'000));
    EXPECT_GE(fleet.receiver.accepted.rbegin()->first, last);
    for (std::size_t place = 0; place < nodeCount; ++place) {
        for (const auto &[window, counts] : fleet.node(place)->counted) {
            if (window <= last) {
                EXPECT_TRUE(isReportedOrExpired(fleet, window))
                        << "window " << window << " of place " << place;
            }
        }
    }
}

// Checks that no report holds more than what was counted.
void expectNothingInvented(UsageFleet &fleet)
{
    for (const auto &[window, counts] : fleet.receiver.accepted) {
        for (const auto &[organisation, number] : counts)
            EXPECT_LE(number, fleet.truth[window][organisation]) << "window " << window;
    }
}

/** Runs one seed. */
class UsageRandomTest : public testing::TestWithParam<int>
{};

} // namespace

// Guards against wrong, lost and doubled reports under combinations of failures that nobody thought
// of: each seed is one random sequence of outages, cuts, pauses, crashes and late calls.
TEST_P(UsageRandomTest, reportsEachWindowOnceAndFromOneHolder)
{
    for (int i = 0; i < 10; ++i) {
        const int seed = GetParam() * 10 + i;
        SCOPED_TRACE("seed " + std::to_string(seed));
        UsageSettings settings;
        settings.windowPeriod = milliseconds(seed % 2 == 0 ? 5000 : 2000);
        UsageFleet fleet(nodeCount, static_cast<std::uint64_t>(seed), settings);
        RandomFaults faults(fleet);
        fleet.run(milliseconds(10'000));
        for (int step = 0; step < 60; ++step) {
            faults.step();
            fleet.run(fleet.world.between(milliseconds(100), milliseconds(2000)));
        }
        faults.heal();
        fleet.run(milliseconds(60'000));
        const std::uint64_t healthy = fleet.windowBefore(0);
        fleet.run(milliseconds(30'000));
        ASSERT_EQ(fleet.faultText(), "");
        expectAllReported(fleet);
        expectNothingInvented(fleet);
        for (std::uint64_t window = healthy;
             window <= fleet.windowEndedBefore(milliseconds(10'000)); ++window)
            EXPECT_EQ(fleet.receiver.accepted[window], fleet.truth[window]) << "window " << window;
        if (HasFailure())
            return;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, UsageRandomTest, testing::Range(0, 30));
