/** Tests which connection is closed for lack of memory. */
#include "transport/http/MemoryBudget.h"
#include "transport/http/BufferBudget.h"

#include <gtest/gtest.h>
#include <kj/async.h>

using namespace boragetrack;
using namespace transport::http;

namespace {

constexpr std::size_t maximum = 1000;

/** A reader with a given progress. */
class ScriptedReader final : public SlowReader
{
public:
    explicit ScriptedReader(int progress)
        : progress_(progress)
    {}

    core::timing::MonotonicTime lastProgress() const override
    {
        return core::timing::MonotonicTime(std::chrono::seconds(progress_));
    }
    void cutOff() override { isCutOff = true; }

    bool isCutOff = false;

private:
    const int progress_;
};

/** A reader that has taken something a given time ago. */
class TimedReader final : public SlowReader
{
public:
    explicit TimedReader(std::chrono::milliseconds idle)
        : idle_(idle)
    {}

    core::timing::MonotonicTime lastProgress() const override
    {
        return std::chrono::steady_clock::now() - idle_;
    }
    void cutOff() override { isCutOff = true; }

    bool isCutOff = false;

private:
    const std::chrono::milliseconds idle_;
};

/** A budget with two readers. */
class MemoryBudgetTest : public testing::Test
{
protected:
    core::counters::CounterRegistry counters_;
    MemoryBudget budget_{maximum, counters_};
    ScriptedReader slow_{1};
    ScriptedReader fast_{2};
};

} // namespace

// Guards against a sum of bodies beyond the memory of the VM.
TEST_F(MemoryBudgetTest, refusesWhatHasNoRoom)
{
    EXPECT_TRUE(budget_.add(maximum));
    EXPECT_FALSE(budget_.add(1));
    budget_.remove(maximum);
    EXPECT_TRUE(budget_.add(1));
    EXPECT_FALSE(budget_.add(2 * maximum)) << "nor does it close readers for what never fits";
}

// Guards against ordinary clients that are closed while slower ones stay.
TEST_F(MemoryBudgetTest, closesTheReaderWithoutProgressForTheLongestTime)
{
    budget_.hold(fast_, 400);
    budget_.hold(slow_, 400);
    EXPECT_TRUE(budget_.add(300));
    EXPECT_TRUE(slow_.isCutOff);
    EXPECT_FALSE(fast_.isCutOff);
    EXPECT_EQ(budget_.used(), 1100) << "the connection ends only in a later turn";
    budget_.release(slow_, 400);
    EXPECT_EQ(budget_.used(), 700);
    EXPECT_EQ(counters_.counter("slow_readers_closed").value(), 1);
}

// Guards against clients that lose their responses for a body that is refused all the same.
TEST_F(MemoryBudgetTest, closesNoReaderForWhatFindsNoRoomEvenThen)
{
    ASSERT_TRUE(budget_.add(700));
    budget_.hold(slow_, 100);
    budget_.hold(fast_, 100);
    EXPECT_FALSE(budget_.add(400));
    EXPECT_FALSE(slow_.isCutOff);
    EXPECT_TRUE(budget_.add(300));
    EXPECT_TRUE(slow_.isCutOff && fast_.isCutOff);
}

// Guards against more connections that are closed than the room needs.
TEST_F(MemoryBudgetTest, countsWhatLeavesAsReleased)
{
    budget_.hold(fast_, 400);
    budget_.hold(slow_, 400);
    EXPECT_TRUE(budget_.add(300));
    EXPECT_TRUE(budget_.add(300));
    EXPECT_FALSE(fast_.isCutOff);
    EXPECT_TRUE(budget_.add(1));
    EXPECT_TRUE(fast_.isCutOff);
}

// Guards against a response that is lost because there is no room for it: others give way.
TEST_F(MemoryBudgetTest, makesRoomForAResponseThatExists)
{
    budget_.hold(slow_, 900);
    budget_.hold(fast_, 900);
    EXPECT_TRUE(slow_.isCutOff);
    EXPECT_FALSE(fast_.isCutOff);
}

// Guards against a crash: an empty response waits for its turn while another one is taken.
TEST_F(MemoryBudgetTest, countsNothingForAnEmptyResponse)
{
    budget_.hold(slow_, 0);
    budget_.hold(slow_, 100);
    budget_.release(slow_, 100);
    budget_.release(slow_, 0);
    EXPECT_EQ(budget_.used(), 0);
}

// Guards against a limit where the settings have none.
TEST_F(MemoryBudgetTest, hasNoLimitWithoutAMaximum)
{
    MemoryBudget unlimited(MemoryBudget::unlimited, counters_);
    EXPECT_TRUE(unlimited.add(std::size_t{1} << 40));
    unlimited.hold(slow_, std::size_t{1} << 40);
    EXPECT_FALSE(slow_.isCutOff);
}

// Guards against a single request inside the limits that a small VM refuses.
TEST_F(MemoryBudgetTest, hasRoomForTheLargestCallOnTheSmallestVm)
{
    constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
    EXPECT_GE(MemoryBudget::maximumFor(64'000'000), 20 * mebibyte);
    EXPECT_EQ(MemoryBudget::maximumFor(160'000'000), 40'000'000);
}

// Guards against a response of an upstream that waits for ever, and against one that is woken by
// itself: it finds no room and releases nothing.
TEST_F(MemoryBudgetTest, wakesThoseThatWaitWhenBytesAreReleased)
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    BufferBudget bodies(maximum, &budget_);
    ASSERT_TRUE(budget_.add(maximum));
    kj::Promise<void> released = bodies.whenReleased();
    {
        BufferBudget::Share share(bodies);
        EXPECT_FALSE(share.resize(1));
    }
    EXPECT_FALSE(released.poll(scope));
    budget_.remove(1);
    EXPECT_TRUE(released.poll(scope));
}

// Guards against a caller that reads at full speed and is closed while one that takes nothing
// stays: a response that has just begun looks more recent than one that is being taken.
TEST_F(MemoryBudgetTest, closesNoActiveReaderForABody)
{
    TimedReader active(std::chrono::milliseconds(20));
    TimedReader begun(std::chrono::milliseconds(0));
    budget_.hold(active, 400);
    budget_.hold(begun, 400);
    EXPECT_FALSE(budget_.add(300));
    EXPECT_FALSE(active.isCutOff || begun.isCutOff);
    budget_.hold(slow_, 100);
    EXPECT_TRUE(budget_.add(200));
    EXPECT_TRUE(slow_.isCutOff);
    EXPECT_FALSE(active.isCutOff || begun.isCutOff);
}
