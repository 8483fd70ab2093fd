/** Tests what a node keeps of the counts of all processes, and when a window is reported. */
#include "control/usage/UsageCollector.h"
#include "control/usage/ElectionOrder.h"
#include "control/usage/ReportSchedule.h"
#include "control/usage/SnapshotMark.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::usage;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::OrganisationName;
using core::timing::WallTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds period{5000};
// The first window of the tests, and a time within the one after it.
constexpr std::uint64_t first = 1000;
constexpr WallTime now{seconds(5 * (first + 1)) + milliseconds(2600)};
const OrganisationName organisation("pulo780");

WindowCounts window(std::uint64_t number, std::uint64_t requests, bool isFinal)
{
    WindowCounts counts{UsageWindow(number), {}, isFinal};
    if (requests != 0)
        counts.counts[organisation] = requests;
    return counts;
}

UsageSnapshot snapshot(const std::string &node, std::uint64_t sequence,
                       std::vector<WindowCounts> windows, std::uint64_t generation = 1)
{
    return UsageSnapshot{NodeId(node), generation, sequence, std::move(windows)};
}

DutyHolder member(const std::string &node, std::uint64_t generation = 1)
{
    return DutyHolder{NodeId(node), generation, NetworkAddress{"127.0.0.1", 7000}};
}

std::uint64_t sumOf(const UsageCollector &collector, std::uint64_t number)
{
    const UsageCounts counts = collector.countsOf(UsageWindow(number));
    const auto found = counts.find(organisation);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

// Guards against requests that are counted twice when a snapshot is repeated or overtaken.
TEST(UsageCollector, replacesEarlierSnapshotsOfAProcess)
{
    UsageCollector collector(period);
    collector.take(snapshot("a", 2, {window(first, 5, false)}), now);
    collector.take(snapshot("a", 2, {window(first, 5, false)}), now);
    collector.take(snapshot("a", 1, {window(first, 3, false)}), now);
    collector.take(snapshot("b", 1, {window(first, 10, false)}), now);
    EXPECT_EQ(sumOf(collector, first), 15U);
    collector.take(snapshot("a", 3, {window(first, 4, true)}), now);
    EXPECT_EQ(sumOf(collector, first), 14U) << "a withdrawn request stays counted";
}

// Guards against the loss of the counts of a process that was replaced.
TEST(UsageCollector, keepsTheCountsOfAProcessThatEnded)
{
    UsageCollector collector(period);
    collector.take(snapshot("a", 90, {window(first, 5, false)}, 1), now);
    collector.take(snapshot("a", 1, {window(first, 2, false)}, 2), now);
    EXPECT_EQ(sumOf(collector, first), 7U);
    EXPECT_EQ(collector.membersPending(UsageWindow(first), {member("a", 2)}).size(), 1U);
    collector.take(snapshot("a", 2, {window(first, 2, true)}, 2), now);
    EXPECT_TRUE(collector.membersPending(UsageWindow(first), {member("a", 2)}).empty());
    const auto ended = collector.snapshotsOfSilent(member("b"), {member("a", 2)}, now);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().generation, 1U);
    EXPECT_EQ(collector.snapshotsOfSilent(member("b"), {member("a", 2)}, now + seconds(3)).size(),
              2U);
    EXPECT_TRUE(collector.snapshotsOfSilent(member("a", 1), {member("a", 2)}, now).empty());
}

// Guards against a report that lacks a node whose final counts are still on their way.
TEST(UsageCollector, waitsForFinalCountsOfAllMembers)
{
    UsageCollector collector(period);
    const std::vector<DutyHolder> members{member("a"), member("b"), member("c")};
    collector.take(snapshot("a", 1, {window(first, 5, true)}), now);
    collector.take(snapshot("b", 1, {window(first, 5, false)}), now);
    EXPECT_EQ(collector.membersPending(UsageWindow(first), members),
              (std::vector{NodeId("b"), NodeId("c")}));
    collector.take(snapshot("b", 2, {window(first, 5, true)}), now);
    // A later final window implies that the process counted nothing in this one.
    collector.take(snapshot("c", 1, {window(first + 1, 0, true)}), now);
    EXPECT_TRUE(collector.membersPending(UsageWindow(first), members).empty());
}

// Guards against counts that return after their window was reported.
TEST(UsageCollector, takesNoCountsOfReportedWindows)
{
    UsageCollector collector(period);
    collector.take(snapshot("a", 1, {window(first, 5, true), window(first + 1, 1, false)}), now);
    EXPECT_EQ(collector.endedWindows(now), 1U);
    collector.forgetThrough(UsageWindow(first));
    collector.forgetThrough(UsageWindow(first - 1));
    collector.take(snapshot("a", 2, {window(first, 5, true), window(first + 1, 2, false)}), now);
    EXPECT_EQ(sumOf(collector, first), 0U);
    EXPECT_EQ(sumOf(collector, first + 1), 2U);
    EXPECT_EQ(collector.firstCounted(), UsageWindow(first + 1));
    EXPECT_EQ(collector.endedWindows(now), 0U);
}

// Guards against memory that grows with the length of an outage.
TEST(UsageCollector, keepsAtMostEightWindowsOfAProcessAndAMinute)
{
    UsageCollector collector(period);
    std::vector<WindowCounts> many;
    for (std::uint64_t number = first - 30; number <= first + 30; ++number)
        many.push_back(window(number, 1, true));
    collector.take(snapshot("a", 1, many), now);
    const std::uint64_t oldest = first + 1 - 12;
    EXPECT_EQ(collector.firstKept(now), UsageWindow(oldest));
    EXPECT_EQ(sumOf(collector, oldest - 1), 0U);
    for (std::uint64_t number = oldest; number < oldest + 8; ++number)
        EXPECT_EQ(sumOf(collector, number), 1U);
    EXPECT_EQ(sumOf(collector, oldest + 8), 0U);
    EXPECT_TRUE(collector.dropExpired(now).empty());
    EXPECT_EQ(collector.dropExpired(now + seconds(10)),
              (std::vector{UsageWindow(oldest), UsageWindow(oldest + 1)}));
    EXPECT_TRUE(collector.dropExpired(now + seconds(10)).empty()) << "logged twice";
    EXPECT_EQ(collector.dropExpired(now + seconds(200)).size(), 6U);
    EXPECT_FALSE(collector.firstCounted());
}

// Guards against a wrong clock of one node that creates windows of the future.
TEST(UsageCollector, takesNoWindowsOfTheFuture)
{
    UsageCollector collector(period);
    collector.take(snapshot("a", 1, {window(first + 2, 1, false), window(first + 3, 1, false)}),
                   now);
    EXPECT_EQ(sumOf(collector, first + 2), 1U);
    EXPECT_EQ(sumOf(collector, first + 3), 0U);
}

// Guards against a holder that waits in vain for a node without requests.
TEST(SnapshotMark, marksTheLastFinalWindow)
{
    SnapshotMark mark;
    UsageSnapshot idle = snapshot("a", 1, {window(first + 1, 3, false)});
    mark.apply(idle, seconds(10), now, period);
    EXPECT_EQ(idle.windows.size(), 1U) << "the first snapshot may be old";
    mark.apply(idle, seconds(11), now, period);
    ASSERT_EQ(idle.windows.size(), 2U);
    EXPECT_EQ(idle.windows.front().window, UsageWindow(first));
    EXPECT_TRUE(idle.windows.front().isFinal);
    UsageSnapshot counted = snapshot("a", 2, {window(first, 3, false)});
    mark.apply(counted, seconds(12), now, period);
    EXPECT_EQ(counted.windows.size(), 1U) << "the counts of the node itself come first";
    UsageSnapshot early = snapshot("a", 3, {});
    mark.apply(early, seconds(13), now - milliseconds(200), period);
    EXPECT_EQ(early.windows.front().window, UsageWindow(first - 1)) << "not final yet";
}

// Guards against a mark on a snapshot that waited for a paused thread and lacks later requests.
TEST(SnapshotMark, marksNoSnapshotAfterAPause)
{
    SnapshotMark mark;
    UsageSnapshot idle = snapshot("a", 1, {});
    mark.apply(idle, seconds(10), now, period);
    mark.apply(idle, seconds(13), now, period);
    EXPECT_TRUE(idle.windows.empty());
}

// Guards against a mark beyond the windows that a snapshot has room for.
TEST(SnapshotMark, marksNoSnapshotThatHoldsOnlyTheFirstWindows)
{
    SnapshotMark mark;
    std::vector<WindowCounts> oldest;
    for (std::uint64_t number = first - 10; number < first - 2; ++number)
        oldest.push_back(window(number, 1, true));
    UsageSnapshot full = snapshot("a", 1, oldest);
    mark.apply(full, seconds(10), now, period);
    mark.apply(full, seconds(11), now, period);
    EXPECT_EQ(full.windows.size(), 8U);
}

// Guards against a report before its time, and against one that a silent node delays beyond its due
// time.
TEST(ReportSchedule, waitsForMissingCountsUntilSevenSecondsAfterTheWindow)
{
    const ReportSchedule schedule(UsageSettings{});
    UsageCollector collector(period);
    const UsageWindow reported(first - 1);
    const WallTime end = UsageWindow(first).endsAt(period);
    collector.take(snapshot("a", 1, {window(first, 5, true)}), now);
    const std::vector<DutyHolder> members{member("a"), member("b")};
    EXPECT_TRUE(schedule.select(collector, reported, {member("a")}, seconds(9), end));
    EXPECT_FALSE(
            schedule.select(collector, reported, {member("a")}, seconds(9), end - milliseconds(1)));
    EXPECT_FALSE(
            schedule.select(collector, reported, members, seconds(9), end + milliseconds(6999)));
    const auto selected
            = schedule.select(collector, reported, members, seconds(9), end + seconds(7));
    ASSERT_TRUE(selected);
    EXPECT_EQ(selected->window, UsageWindow(first));
    EXPECT_EQ(selected->missing, std::vector{NodeId("b")});
}

// Guards against the loss of counts that nodes have not sent to a new holder yet, and of windows
// beyond the eight that a node sends at a time after an outage.
TEST(ReportSchedule, givesNodesTimeToSendAnOldWindow)
{
    const ReportSchedule schedule(UsageSettings{});
    UsageCollector collector(period);
    const WallTime late = UsageWindow(first).endsAt(period) + seconds(30);
    EXPECT_FALSE(schedule.select(collector, UsageWindow(first - 1), {member("b")},
                                 milliseconds(2900), late));
    EXPECT_TRUE(schedule.select(collector, UsageWindow(first - 1), {member("b")},
                                milliseconds(3000), late));
}

// Guards against reports of all windows since 1970, and of windows that nobody has counts of any
// more.
TEST(ReportSchedule, omitsWindowsThatNobodyCanKnow)
{
    const ReportSchedule schedule(UsageSettings{});
    UsageCollector collector(period);
    EXPECT_FALSE(schedule.nextWindow(collector, UsageWindow{}, now));
    EXPECT_EQ(schedule.nextWindow(collector, UsageWindow(10), now), collector.firstKept(now));
    collector.take(snapshot("a", 1, {window(first - 2, 5, true)}), now);
    EXPECT_EQ(schedule.nextWindow(collector, UsageWindow{}, now), UsageWindow(first - 2));
    EXPECT_EQ(schedule.nextWindow(collector, UsageWindow(first - 5), now), UsageWindow(first - 4))
            << "a window without counts is reported empty";
}

// Guards against nodes that apply in different orders, so that each election costs more calls.
TEST(ElectionOrder, isTheSameForAllNodes)
{
    const std::vector<DutyHolder> members{member("a"), member("b"), member("c"), member("d")};
    const std::vector<DutyHolder> reversed(members.rbegin(), members.rend());
    const auto order = electionOrder("duty", members);
    EXPECT_EQ(order, electionOrder("duty", reversed));
    EXPECT_EQ(order.size(), members.size());
    const std::vector<DutyHolder> rest(order.begin() + 1, order.end());
    EXPECT_EQ(electionOrder("duty", rest), rest) << "the others keep their order";
}
