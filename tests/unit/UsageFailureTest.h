/** A fleet in which single failures of usage reports are brought about. */
#pragma once

#include "UsageFleet.h"
#include "control/usage/ElectionOrder.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace boragetrack::tests::usagefailure {

using namespace boragetrack;
using namespace boragetrack::control::usage;
using core::identity::NodeId;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::UsageFleet;
using tests::UsageNode;

constexpr std::size_t nodeCount = 4;

inline std::string textOf(const UsageCounts &counts)
{
    return UsageReport{UsageWindow{}, counts, FencingToken{}}.toText();
}

/** A fleet with a holder. */
class UsageFailureTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto holder = fleet_.awaitHolder();
        ASSERT_TRUE(holder);
        fleet_.run(seconds(20));
        holder_ = *holder;
        ASSERT_TRUE(fleet_.node(holder_)->isHolder());
    }

    void TearDown() override { EXPECT_EQ(fleet_.faultText(), ""); }

    UsageNode &holder() { return *fleet_.node(holder_); }

    // Returns the place that comes after another one.
    static std::size_t after(std::size_t place) { return (place + 1) % nodeCount; }

    // Checks that all windows that began in a time and are due were reported exactly.
    void expectExact(std::uint64_t from, std::uint64_t to)
    {
        ASSERT_LE(from, to);
        for (std::uint64_t window = from; window <= to; ++window)
            EXPECT_EQ(textOf(fleet_.receiver.accepted[window]), textOf(fleet_.truth[window]))
                    << "window " << window;
    }

    // Returns a place by its rank in the order of the election.
    std::size_t placeInOrder(std::size_t rank)
    {
        std::vector<DutyHolder> members;
        for (std::size_t place = 0; place < nodeCount; ++place)
            members.push_back(fleet_.node(place)->self());
        const DutyHolder member = electionOrder(UsageReporter::holderKey, members)[rank];
        return static_cast<std::size_t>(std::find(members.begin(), members.end(), member)
                                        - members.begin());
    }

    // Counts one request at a place, and none after it, and lets the place send it.
    // @returns its window
    std::uint64_t countAt(std::size_t place)
    {
        fleet_.hasLoad = false;
        fleet_.run(fleet_.endOf(fleet_.windowBefore(0)) - fleet_.world.now() + milliseconds(20));
        const std::uint64_t window = fleet_.windowBefore(0);
        fleet_.node(place)->countRequest("pulo780");
        ++fleet_.truth[window][core::identity::OrganisationName("pulo780")];
        fleet_.run(milliseconds(1200));
        return window;
    }

    std::uint64_t firstReported() const { return fleet_.receiver.accepted.begin()->first; }
    std::uint64_t lastDue() const { return fleet_.windowEndedBefore(seconds(10)); }

    UsageFleet fleet_{nodeCount, 2};
    std::size_t holder_ = 0;
};

} // namespace boragetrack::tests::usagefailure
