/** Tests that the lateness of the event loop is counted. */
#include "transport/links/LoopMonitor.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using core::timing::PauseDetector;
using std::chrono::milliseconds;
using transport::links::LoopMonitor;

TEST(LoopMonitor, countsHowLateEachTickIs)
{
    core::counters::CounterRegistry counters;
    const auto start = core::timing::MonotonicTime{} + std::chrono::hours(1);
    LoopMonitor monitor(counters, start);
    monitor.recordTick(start);
    monitor.recordTick(start + PauseDetector::tickPeriod + milliseconds(150));
    EXPECT_EQ(counters.counter("loop_late_ms_le_1").value(), 1U);
    EXPECT_EQ(counters.counter("loop_late_ms_le_100").value(), 1U);
    EXPECT_EQ(counters.counter("loop_late_ms_le_250").value(), 2U);
}
