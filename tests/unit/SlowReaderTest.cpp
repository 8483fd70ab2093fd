/** Tests how a connection whose client does not read is closed for lack of memory. */
#include "tests/unit/ConnectionFixture.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using namespace transport::http;

namespace {

/** A connection whose client stops reading. */
class SlowReaderTest : public tests::ConnectionFixture
{
protected:
    ~SlowReaderTest() noexcept override {}

    std::uint64_t closedReaders() { return registry_.counter("slow_readers_closed").value(); }
};

/** A reader that has made no progress at all. */
class Other final : public SlowReader
{
public:
    core::timing::MonotonicTime lastProgress() const override { return {}; }
    void cutOff() override { isCutOff = true; }

    bool isCutOff = false;
};

constexpr std::size_t largeBytes = std::size_t{8} * 1024 * 1024;

} // namespace

// Guards against responses that the budget does not count, or counts for ever.
TEST_F(SlowReaderTest, countsAResponseUntilItsClientHasTakenIt)
{
    handler_.sizes["/a"] = largeBytes;
    reading_ = nullptr;
    sendGets("a");
    release("/a");
    EXPECT_GE(memory_.used(), largeBytes);
    reading_ = readOn().eagerlyEvaluate([](kj::Exception && /*exception*/) {});
    settle(std::chrono::milliseconds(200));
    EXPECT_EQ(memory_.used(), 0);
    EXPECT_GE(received_.size(), largeBytes);
    EXPECT_EQ(closedReaders(), 0);
}

// Guards against a client that holds memory which others need.
TEST_F(SlowReaderTest, closesTheConnectionForWhatOthersNeed)
{
    handler_.sizes["/a"] = largeBytes;
    reading_ = nullptr;
    sendGets("a");
    release("/a");
    settle(MemoryBudget::minimumIdleTime);
    EXPECT_TRUE(memory_.add(memoryBytes - largeBytes));
    EXPECT_EQ(closedReaders(), 1);
    settle();
    EXPECT_TRUE(hasEnded_);
    EXPECT_EQ(memory_.used(), memoryBytes - largeBytes);
}

// Guards against a client that is closed because an upstream is slow: it can't read what is not
// written yet.
TEST_F(SlowReaderTest, blamesNoClientForAResponseThatWaitsForItsTurn)
{
    handler_.sizes["/b"] = PipelineQueue::maximumBytes / 2;
    sendGets("ab");
    release("/b");
    EXPECT_GE(memory_.used(), PipelineQueue::maximumBytes / 2);
    Other other;
    memory_.hold(other, PipelineQueue::maximumBytes);
    EXPECT_TRUE(memory_.add(memoryBytes - PipelineQueue::maximumBytes));
    EXPECT_TRUE(other.isCutOff) << "its client has taken nothing since before the connection began";
    settle();
    EXPECT_FALSE(hasEnded_);
    memory_.release(other, PipelineQueue::maximumBytes);
}
