/** Tests that requests are counted once, in the window in which they began to run, and that counts
    which were passed on as final or reported do not change. */
#include "traffic/usage/UsageMeter.h"
#include "traffic/usage/CountedRequest.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::usage::UsageCounts;
using control::usage::UsageWindow;
using control::usage::WindowCounts;
using core::identity::OrganisationName;
using core::timing::WallTime;
using std::chrono::milliseconds;
using std::chrono::seconds;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::usage::CountedRequest;
using traffic::usage::UsageMeter;

namespace {

constexpr milliseconds period{5000};
const OrganisationName kabo("kabo51");
const OrganisationName pulo("pulo780");

// The time in window 1000, or later.
WallTime at(milliseconds offset)
{
    return WallTime(1000 * period + offset);
}

UsageWindow window(std::uint64_t offset)
{
    return UsageWindow(1000 + offset);
}

class UsageMeterTest : public testing::Test
{
protected:
    CountedRequest begin(bool isNested, const OrganisationName &organisation)
    {
        CallRequest request;
        request.organisation = organisation;
        request.isNested = isNested;
        return {&meter_, request, at(milliseconds(0))};
    }

    UsageMeter meter_{period, at(milliseconds(0))};
};

} // namespace

// Counts of another window than that in which the requests began to run would be reported in place
// of the true ones.
TEST_F(UsageMeterTest, countsRequestsInTheWindowInWhichTheyBegan)
{
    EXPECT_EQ(meter_.begin(kabo, at(milliseconds(4999))), window(0));
    EXPECT_EQ(meter_.begin(kabo, at(milliseconds(5000))), window(1));
    meter_.begin(pulo, at(milliseconds(5001)));
    meter_.begin(pulo, at(milliseconds(5002)));
    const auto windows = meter_.snapshot(at(milliseconds(5003)));
    ASSERT_EQ(windows.size(), 2U);
    EXPECT_EQ(windows[0].window, window(0));
    EXPECT_EQ(windows[0].counts, (UsageCounts{{kabo, 1}}));
    EXPECT_EQ(windows[1].counts, (UsageCounts{{kabo, 1}, {pulo, 2}}));
}

// Organisations would pay for requests that nothing ran, or for calls that upstreams make.
TEST_F(UsageMeterTest, countsNeitherRefusedNorNestedRequestsNorThoseOfNobody)
{
    begin(true, kabo).end(CallOutcome::Completed);
    begin(false, OrganisationName()).end(CallOutcome::Completed);
    begin(false, kabo).end(CallOutcome::NotRun);
    EXPECT_TRUE(meter_.snapshot(at(milliseconds(1)))[0].counts.empty());
    begin(false, kabo).end(CallOutcome::Completed);
    begin(false, kabo).end(CallOutcome::Unknown);
    // A request whose caller has left never ends here, but it ran.
    begin(false, kabo);
    EXPECT_EQ(meter_.snapshot(at(milliseconds(2)))[0].counts, (UsageCounts{{kabo, 3}}));
}

// The holder may have recorded the report as soon as a window is final.
TEST_F(UsageMeterTest, doesNotChangeAWindowOnceItIsFinal)
{
    const UsageWindow first = meter_.begin(kabo, at(milliseconds(10)));
    meter_.begin(kabo, at(milliseconds(20)));
    EXPECT_FALSE(meter_.snapshot(at(milliseconds(7499)))[0].isFinal);
    meter_.withdraw(kabo, first);
    EXPECT_TRUE(meter_.snapshot(at(milliseconds(7500)))[0].isFinal);
    meter_.withdraw(kabo, first);
    // The wall clock was set back.
    EXPECT_EQ(meter_.begin(pulo, at(milliseconds(100))), window(1));
    const auto windows = meter_.snapshot(at(milliseconds(7501)));
    EXPECT_EQ(windows[0].counts, (UsageCounts{{kabo, 1}}));
    EXPECT_TRUE(windows[0].isFinal);
    EXPECT_FALSE(windows[1].isFinal);
    EXPECT_EQ(windows[1].counts, (UsageCounts{{pulo, 1}}));
}

// Without the windows that have no requests, the holder would wait for this node's counts of them
// until the report is late.
TEST_F(UsageMeterTest, listsWindowsWithoutRequests)
{
    const auto windows = meter_.snapshot(at(milliseconds(12'500)));
    ASSERT_EQ(windows.size(), 3U);
    for (const WindowCounts &counted : windows)
        EXPECT_TRUE(counted.counts.empty());
    EXPECT_TRUE(windows[1].isFinal);
    EXPECT_FALSE(windows[2].isFinal);
}

// A request that ends after its window was reported must not restore the window, and one that
// begins by a clock that was set back must not be lost in it.
TEST_F(UsageMeterTest, forgetsReportedWindows)
{
    const UsageWindow first = meter_.begin(kabo, at(milliseconds(10)));
    meter_.begin(kabo, at(milliseconds(5010)));
    meter_.forgetThrough(window(0));
    meter_.withdraw(kabo, first);
    EXPECT_EQ(meter_.begin(pulo, at(milliseconds(20))), window(1));
    const auto windows = meter_.snapshot(at(milliseconds(5020)));
    ASSERT_EQ(windows.size(), 1U);
    EXPECT_EQ(windows[0].window, window(1));
    EXPECT_EQ(windows[0].counts, (UsageCounts{{kabo, 1}, {pulo, 1}}));
    meter_.forgetThrough(UsageWindow());
    EXPECT_EQ(meter_.snapshot(at(milliseconds(5020))).size(), 1U) << "never goes back";
}

// Without a receiver for hours, counts would fill the memory; and what is dropped has to be logged.
TEST_F(UsageMeterTest, keepsAMinuteAndPassesTheOldestWindowsOn)
{
    for (int i = 0; i < 20; ++i)
        meter_.begin(kabo, at(i * period));
    const auto windows = meter_.snapshot(at(20 * period));
    ASSERT_EQ(windows.size(), UsageMeter::maximumWindows);
    EXPECT_EQ(windows.front().window, window(8));
    EXPECT_EQ(windows.back().window, window(15));
    EXPECT_EQ(meter_.takeDropped().size(), 8U);
    EXPECT_TRUE(meter_.takeDropped().empty());
}

// The counts of the present window were lost in a planned stop.
TEST_F(UsageMeterTest, makesAllWindowsFinalForAStop)
{
    meter_.begin(kabo, at(milliseconds(10)));
    const UsageWindow last = meter_.begin(kabo, at(milliseconds(5010)));
    const auto windows = meter_.finalSnapshot(at(milliseconds(5020)));
    ASSERT_EQ(windows.size(), 2U);
    EXPECT_TRUE(windows[0].isFinal);
    EXPECT_TRUE(windows[1].isFinal);
    EXPECT_EQ(windows[1].counts, (UsageCounts{{kabo, 1}}));
    meter_.withdraw(kabo, last);
    EXPECT_EQ(meter_.begin(kabo, at(milliseconds(5030))), window(2));
    EXPECT_EQ(meter_.snapshot(at(milliseconds(5040)))[1].counts, (UsageCounts{{kabo, 1}}));
}
