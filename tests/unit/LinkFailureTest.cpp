/** Tests what follows for later calls when a link to a peer has failed. */
#include "tests/unit/PeerThread.h"
#include "transport/links/PeerLinks.h"

#include <gtest/gtest.h>
#include <optional>

using namespace boragetrack;
using std::chrono::milliseconds;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using transport::links::LinkCounters;
using transport::links::LinkEncoding;
using transport::links::PeerLinks;

namespace {

CallRequest callTaking(milliseconds serviceTime, milliseconds budget)
{
    CallRequest request;
    request.body = std::to_string(serviceTime.count());
    request.budget = budget;
    return request;
}

/** Links to a peer that a test can end. */
class LinkFailure : public testing::Test
{
protected:
    LinkFailure()
        : io_(kj::setupAsyncIo())
        , timer_(io_.provider->getTimer())
        , links_(
                  io_.provider->getNetwork(), timer_,
                  [](const auto & /*address*/) { return LinkEncoding::Plain; },
                  LinkCounters(counters_),
                  [this](const auto &address) { disconnected_.push_back(address); })
    {
        peer_.emplace();
        address_ = peer_->address();
        call(milliseconds(0));
    }
    ~LinkFailure() noexcept override = default;

    CallResponse call(milliseconds serviceTime)
    {
        const CallRequest request = callTaking(serviceTime, milliseconds(1000));
        return links_.call(address_, request).wait(io_.waitScope);
    }

    /** Returns whether the peer responds to a control request; it never does. */
    bool fetch()
    {
        return links_.fetchIntent(address_, core::identity::Revision(1))
                .then(
                        [](const control::distribution::IntentTransfer & /*transfer*/) {
                            return true;
                        },
                        [](kj::Exception && /*exception*/) { return false; })
                .wait(io_.waitScope);
    }

    std::uint64_t opened() { return counters_.counter("links_opened").value(); }

    void handleEventsFor(milliseconds time)
    {
        timer_.afterDelay(time.count() * kj::MILLISECONDS).wait(io_.waitScope);
    }

    core::counters::CounterRegistry counters_;
    kj::AsyncIoContext io_;
    transport::timing::PreciseTimer timer_;
    std::optional<PeerThread> peer_;
    core::identity::NetworkAddress address_;
    std::vector<core::identity::NetworkAddress> disconnected_;
    PeerLinks links_;
};

} // namespace

TEST_F(LinkFailure, noCallIsSentOnALinkThatIsKnownToHaveFailed)
{
    peer_.reset();
    handleEventsFor(milliseconds(5));
    const CallResponse response = call(milliseconds(0));
    EXPECT_EQ(response.outcome, CallOutcome::NotRun) << response.reason;
}

// The end of a link is the first sign that a node may have started again and know no other node.
TEST_F(LinkFailure, theEndOfAnOpenLinkIsReportedOnce)
{
    handleEventsFor(milliseconds(5));
    EXPECT_TRUE(disconnected_.empty());
    peer_.reset();
    handleEventsFor(milliseconds(5));
    EXPECT_EQ(disconnected_, std::vector{address_});
    EXPECT_EQ(call(milliseconds(0)).outcome, CallOutcome::NotRun);
    handleEventsFor(milliseconds(5));
    EXPECT_EQ(disconnected_.size(), 1U) << "a refused connection is no end of a link";
}

TEST_F(LinkFailure, theEndOfALinkThatFailsACallIsReportedOnce)
{
    auto running = links_.call(address_, callTaking(milliseconds(500), milliseconds(1000)));
    EXPECT_EQ(call(milliseconds(20)).outcome, CallOutcome::Completed);
    peer_.reset();
    EXPECT_EQ(running.wait(io_.waitScope).outcome, CallOutcome::Unknown);
    handleEventsFor(milliseconds(5));
    EXPECT_EQ(disconnected_, std::vector{address_});
}

TEST_F(LinkFailure, noCallIsSentOnTheLinkThatHasJustFailedAnotherCall)
{
    const CallRequest running = callTaking(milliseconds(500), milliseconds(1000));
    const CallRequest retry = callTaking(milliseconds(0), milliseconds(1000));
    auto retried = links_.call(address_, running)
                           .then([&](const CallResponse &failed) {
                               EXPECT_EQ(failed.outcome, CallOutcome::Unknown);
                               return links_.call(address_, retry);
                           })
                           .eagerlyEvaluate(nullptr);
    EXPECT_EQ(call(milliseconds(20)).outcome, CallOutcome::Completed);
    peer_.reset();
    const CallResponse response = retried.wait(io_.waitScope);
    EXPECT_EQ(response.outcome, CallOutcome::NotRun) << response.reason;
}

// Without calls, a link that went silent for good failed all fetches and polls of its peer.
TEST_F(LinkFailure, aLinkThatFailsAControlRequestWithoutAnyResponseIsReplaced)
{
    const std::uint64_t before = opened();
    EXPECT_FALSE(fetch());
    EXPECT_EQ(call(milliseconds(0)).outcome, CallOutcome::Completed);
    EXPECT_EQ(opened(), before + 1);
}

// A peer whose control thread is late responds to calls all the same.
TEST_F(LinkFailure, aLinkThatRespondsToCallsOutlivesAFailedControlRequest)
{
    const std::uint64_t before = opened();
    auto running = links_.call(address_, callTaking(milliseconds(200), milliseconds(1000)))
                           .eagerlyEvaluate(nullptr);
    EXPECT_FALSE(fetch());
    EXPECT_EQ(running.wait(io_.waitScope).outcome, CallOutcome::Completed);
    EXPECT_EQ(call(milliseconds(0)).outcome, CallOutcome::Completed);
    EXPECT_EQ(opened(), before);
}
