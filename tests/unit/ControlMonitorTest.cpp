/** Tests that the lateness of the control thread is counted. */
#include "daemon/service/ControlMonitor.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using daemon::service::ControlMonitor;
using std::chrono::milliseconds;

TEST(ControlMonitor, countsHowLateEachTickIs)
{
    core::counters::CounterRegistry counters;
    const auto start = core::timing::MonotonicTime{} + std::chrono::hours(1);
    ControlMonitor monitor(counters, milliseconds(200));
    monitor.recordTick(start);
    monitor.recordTick(start + milliseconds(350));
    monitor.recordTick(start + milliseconds(400));
    EXPECT_EQ(counters.counter("control_late_ms_le_1").value(), 2U);
    EXPECT_EQ(counters.counter("control_late_ms_le_100").value(), 2U);
    EXPECT_EQ(counters.counter("control_late_ms_le_250").value(), 3U);
}
