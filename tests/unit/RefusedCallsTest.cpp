/** Tests which calls count as refused by the upstream lately. */
#include "traffic/inbound/RefusedCalls.h"

#include <gtest/gtest.h>

using boragetrack::traffic::inbound::RefusedCalls;

TEST(RefusedCalls, remembersTheLatestUpToItsCapacity)
{
    RefusedCalls calls;
    calls.add("first");
    calls.add("second");
    // A call that is refused again takes no further place.
    for (int times = 0; times < 3; ++times)
        calls.add("second");
    for (std::size_t number = 2; number < RefusedCalls::capacity; ++number)
        calls.add("call " + std::to_string(number));
    EXPECT_TRUE(calls.contains("first"));
    EXPECT_FALSE(calls.contains("another"));
    calls.add("last");
    EXPECT_FALSE(calls.contains("first"));
    EXPECT_TRUE(calls.contains("second"));
    EXPECT_TRUE(calls.contains("last"));
}
