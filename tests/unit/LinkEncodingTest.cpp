/** Tests of the first byte of a link. */
#include "transport/links/LinkEncoding.h"
#include "core/counters/CounterRegistry.h"
#include "tests/unit/ScriptedStream.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::transport::links;
using tests::ScriptedStream;

namespace {

/** Accepts a link on which the other side sends some bytes and closes. */
class LinkEncodingTest : public testing::Test
{
protected:
    LinkEncodingTest()
        : scope_(loop_)
    {}

    ~LinkEncodingTest() noexcept override = default;

    bool isAccepted(std::deque<std::string> sent)
    {
        auto stream = kj::heap<ScriptedStream>(std::move(sent), ScriptedStream::End::Close);
        return negotiateAccepted(kj::mv(stream), LinkCounters(counters_)).wait(scope_) != nullptr;
    }

    kj::EventLoop loop_;
    kj::WaitScope scope_;
    core::counters::CounterRegistry counters_;
};

} // namespace

TEST_F(LinkEncodingTest, takesACloseBeforeTheFirstByteForAnOrdinaryClose)
{
    EXPECT_FALSE(isAccepted({}));
}

TEST_F(LinkEncodingTest, acceptsTheKnownEncodings)
{
    EXPECT_TRUE(isAccepted({std::string(1, '\0')}));
    EXPECT_TRUE(isAccepted({std::string(1, '\1')}));
}

TEST_F(LinkEncodingTest, refusesAnUnknownEncoding)
{
    EXPECT_THROW(isAccepted({std::string(1, '\2')}), kj::Exception);
}
