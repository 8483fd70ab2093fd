/** Tests that counts reach a peer unchanged, and that a peer without usage reports counts as one
    without a response. */
#include "core/counters/CounterRegistry.h"
#include "tests/unit/NoControl.h"
#include "transport/links/CallServer.h"
#include "transport/links/LinkListener.h"
#include "transport/links/PeerLinks.h"
#include "transport/links/PeerServer.h"
#include "transport/wire/UsageCodec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::usage;
using core::identity::IdempotencyKey;
using core::identity::NodeId;
using core::identity::OrganisationName;
using transport::links::CallServer;
using transport::links::LinkCounters;
using transport::links::LinkEncoding;
using transport::links::LinkListener;
using transport::links::PeerLinks;

namespace {

/** Serves no calls. */
class NoCalls : public CallServer
{
public:
    kj::Promise<traffic::calls::CallResponse>
    serve(traffic::calls::CallRequest /*request*/) override
    {
        return traffic::calls::CallResponse::notRun("a test");
    }
    NodeId claim(const IdempotencyKey & /*key*/, const NodeId &claimant) override
    {
        return claimant;
    }
    void release(const IdempotencyKey & /*key*/, const NodeId & /*claimant*/) override {}
};

/** Records the counts that it receives, and responds while it has a window to respond with. */
class UsageControl : public tests::NoControl
{
public:
    void handleUsage(UsageSnapshot snapshot, Callback<UsageWindow> callback) override
    {
        received = std::move(snapshot);
        if (reportedThrough)
            callback(*reportedThrough);
    }

    UsageSnapshot received;
    std::optional<UsageWindow> reportedThrough;
};

UsageSnapshot exampleSnapshot()
{
    UsageSnapshot snapshot{NodeId("n1"), 1'765'000'000'123, 7, {}};
    snapshot.windows.push_back({UsageWindow(353'445'120),
                                {{OrganisationName("kabo51"), 412},
                                 {OrganisationName("pulo780"), std::uint64_t{1} << 40}},
                                true});
    snapshot.windows.push_back({UsageWindow(353'445'121), {}, false});
    return snapshot;
}

void expectEqual(const UsageSnapshot &left, const UsageSnapshot &right)
{
    EXPECT_EQ(left.node, right.node);
    EXPECT_EQ(left.generation, right.generation);
    EXPECT_EQ(left.sequence, right.sequence);
    ASSERT_EQ(left.windows.size(), right.windows.size());
    for (std::size_t i = 0; i < left.windows.size(); ++i) {
        EXPECT_EQ(left.windows[i].window, right.windows[i].window);
        EXPECT_EQ(left.windows[i].counts, right.windows[i].counts);
        EXPECT_EQ(left.windows[i].isFinal, right.windows[i].isFinal);
    }
}

class UsageLinkTest : public testing::Test
{
protected:
    UsageLinkTest()
    {
        const absl::Status status = listener_.listen({"127.0.0.1", 0}, io_.waitScope);
        EXPECT_TRUE(status.ok()) << status;
    }
    ~UsageLinkTest() noexcept override {}

    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    transport::timing::PreciseTimer timer_{io_.provider->getTimer()};
    core::counters::CounterRegistry registry_;
    LinkCounters counters_{registry_};
    UsageControl control_;
    NoCalls calls_;
    LinkListener listener_{io_.provider->getNetwork(), timer_, control_, calls_, counters_};
    PeerLinks links_{io_.provider->getNetwork(), timer_,
                     [](const auto & /*address*/) { return LinkEncoding::Plain; }, counters_};
};

} // namespace

// A count or a mark that a codec loses is a report with false counts, or one that is late.
TEST_F(UsageLinkTest, carriesCountsAndTheLastReportedWindow)
{
    control_.reportedThrough = UsageWindow(353'445'119);
    const UsageWindow reported
            = links_.reportUsage({"127.0.0.1", listener_.port()}, exampleSnapshot())
                      .wait(io_.waitScope);
    EXPECT_EQ(reported, UsageWindow(353'445'119));
    expectEqual(control_.received, exampleSnapshot());
}

// A node whose settings ask for no usage reports drops the callback.
TEST_F(UsageLinkTest, takesAPeerWithoutUsageReportsForOneWithoutAResponse)
{
    EXPECT_ANY_THROW(links_.reportUsage({"127.0.0.1", listener_.port()}, exampleSnapshot())
                             .wait(io_.waitScope));
}

// In a rolling update, peers of the earlier release do not know the request.
TEST(UsageLink, isRejectedByAPeerOfAnEarlierRelease)
{
    /** Implements no method. */
    class EarlierPeer final : public transport::wire::schema::Peer::Server
    {};
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    transport::wire::schema::Peer::Client peer = kj::heap<EarlierPeer>();
    EXPECT_ANY_THROW(peer.reportUsageRequest().send().wait(scope));
}

TEST(UsageWireCodec, restoresTheOrderOfWindows)
{
    UsageSnapshot mixed = exampleSnapshot();
    std::swap(mixed.windows[0], mixed.windows[1]);
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<transport::wire::schema::UsageSnapshot>();
    transport::wire::encode(mixed, root);
    expectEqual(transport::wire::decode(root.asReader()), exampleSnapshot());
}
