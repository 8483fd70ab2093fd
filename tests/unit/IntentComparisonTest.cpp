/** Tests that a node notices when it decides by an older intent than others. */
#include "control/distribution/IntentComparison.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::IntentComparison;
using core::identity::IntentNumber;
using core::identity::NodeId;
using std::chrono::milliseconds;

namespace {

const auto start = core::timing::MonotonicTime{} + std::chrono::hours(1);

/** A node with intent 7 in force. */
class IntentComparisonTest : public testing::Test
{
protected:
    IntentComparisonTest() { comparison_.recordInForce(IntentNumber(7)); }

    void report(const char *node, std::uint64_t number, milliseconds at)
    {
        comparison_.recordReport(NodeId(node), IntentNumber(number), start + at);
    }

    /** Returns the number of the overdue intent; zero if there is none. */
    std::uint64_t overdueAt(milliseconds at) const
    {
        const auto overdue = comparison_.overdueAt(start + at);
        return overdue ? overdue->number.number() : 0;
    }

    IntentComparison comparison_;
};

} // namespace

// Guards against a node that decides by an older intent for long and writes no line.
TEST_F(IntentComparisonTest, reportsALaterIntentThatIsMissingForHalfASecond)
{
    report("b", 8, milliseconds(0));
    report("c", 8, milliseconds(400));
    EXPECT_EQ(overdueAt(milliseconds(499)), 0U);
    EXPECT_EQ(overdueAt(milliseconds(500)), 8U);
    EXPECT_EQ(comparison_.overdueAt(start + milliseconds(500))->reportedBy, NodeId("b"));
    EXPECT_EQ(comparison_.overdueAt(start + milliseconds(500))->knownSince, start);
}

TEST_F(IntentComparisonTest, forgetsALaterIntentThatCameIntoForce)
{
    report("b", 8, milliseconds(0));
    report("b", 9, milliseconds(300));
    comparison_.recordInForce(IntentNumber(8));
    EXPECT_EQ(overdueAt(milliseconds(700)), 0U);
    EXPECT_EQ(overdueAt(milliseconds(800)), 9U);
    comparison_.recordInForce(IntentNumber(9));
    EXPECT_EQ(overdueAt(milliseconds(2000)), 0U);
}

// A node that falls further behind must not seem to be behind only since the last change.
TEST_F(IntentComparisonTest, keepsTheTimeOfEachMissingIntent)
{
    for (int i = 0; i < 5; ++i)
        report("b", 8 + static_cast<std::uint64_t>(i), milliseconds(200 * i));
    EXPECT_EQ(overdueAt(milliseconds(600)), 8U);
    EXPECT_EQ(overdueAt(milliseconds(700)), 9U);
}

TEST_F(IntentComparisonTest, ignoresReportsThatTheirNodeHasTakenBack)
{
    report("b", 8, milliseconds(0));
    report("b", 7, milliseconds(400));
    EXPECT_EQ(overdueAt(milliseconds(1000)), 0U);
    report("c", 8, milliseconds(600));
    EXPECT_EQ(overdueAt(milliseconds(1100)), 8U);
}

TEST_F(IntentComparisonTest, ignoresNodesWithoutANumber)
{
    report("b", 8, milliseconds(0));
    report("b", 0, milliseconds(100));
    EXPECT_EQ(overdueAt(milliseconds(500)), 8U);
    IntentComparison starting;
    starting.recordReport(NodeId("b"), IntentNumber(8), start);
    EXPECT_FALSE(starting.overdueAt(start + milliseconds(5000)));
}

TEST_F(IntentComparisonTest, remembersABoundedNumberOfLaterIntents)
{
    for (std::uint64_t number = 8; number < 100; ++number)
        report("b", number, milliseconds(0));
    EXPECT_EQ(overdueAt(milliseconds(500)), 7 + IntentComparison::maximumLaterIntents);
}
