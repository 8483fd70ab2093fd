/** Tests that inputs which waited during a pause are recognised, and no others. */
#include "core/timing/PauseDetector.h"

#include <gtest/gtest.h>

using namespace boragetrack::core::timing;
using std::chrono::milliseconds;

namespace {
const MonotonicTime start = MonotonicTime{} + std::chrono::hours(1);
} // namespace

TEST(PauseDetector, reportsNoDelayWhileTicksAreRegular)
{
    PauseDetector pauses(start);
    for (int tick = 1; tick < 20; ++tick) {
        const MonotonicTime now = start + tick * PauseDetector::tickPeriod;
        EXPECT_EQ(pauses.possibleDelay(now).count(), 0);
        pauses.recordTick(now);
    }
}

TEST(PauseDetector, reportsTheLengthOfAPauseForTheInputsThatWaited)
{
    PauseDetector pauses(start);
    const MonotonicTime woken = start + milliseconds(3000);
    EXPECT_EQ(pauses.possibleDelay(woken), milliseconds(3000)) << "before the first tick";
    pauses.recordTick(woken);
    EXPECT_EQ(pauses.possibleDelay(woken + milliseconds(1)), milliseconds(3000)) << "after it";
    EXPECT_EQ(pauses.possibleDelay(woken + PauseDetector::backlogTime).count(), 0);
}
