/** Tests that links are closed without the loss of calls and responses. */
#include "tests/unit/PeerThread.h"
#include "transport/links/LinkEncoding.h"
#include "transport/links/PeerLinks.h"

#include <capnp/rpc-twoparty.h>
#include <gtest/gtest.h>
#include <kj/debug.h>
#include <list>

using namespace boragetrack;
using namespace boragetrack::transport::links;
using std::chrono::milliseconds;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

constexpr milliseconds closeTimeout{5000};

CallRequest callTaking(milliseconds serviceTime)
{
    CallRequest request;
    request.body = std::to_string(serviceTime.count());
    request.budget = milliseconds(5000);
    return request;
}

/** Links on the event loop of a test. */
class LinkClosing : public testing::Test
{
protected:
    LinkClosing()
        : io_(kj::setupAsyncIo())
        , timer_(io_.provider->getTimer())
        , links_(
                  io_.provider->getNetwork(), timer_,
                  [](const auto & /*address*/) { return LinkEncoding::Plain; },
                  LinkCounters(counters_))
    {}

    ~LinkClosing() noexcept override = default;

    CallResponse call(const core::identity::NetworkAddress &peer, milliseconds serviceTime)
    {
        return links_.call(peer, callTaking(serviceTime)).wait(io_.waitScope);
    }

    void pass(milliseconds time)
    {
        timer_.afterDelay(time.count() * kj::MILLISECONDS).wait(io_.waitScope);
    }

    core::counters::CounterRegistry counters_;
    kj::AsyncIoContext io_;
    transport::timing::PreciseTimer timer_;
    PeerLinks links_;
};

/** Sends calls without a break until it is destroyed. */
class CallStream
{
public:
    CallStream(PeerLinks &links, kj::Timer &timer, core::identity::NetworkAddress peer)
        : links_(links)
        , timer_(timer)
        , peer_(std::move(peer))
        , sending_(sendNext().eagerlyEvaluate(nullptr))
    {}

    /** Stops sending and returns the responses to all calls. */
    kj::Promise<kj::Array<CallResponse>> end()
    {
        sending_ = nullptr;
        return kj::joinPromises(responses_.releaseAsArray());
    }

private:
    static constexpr int burst = 10;

    kj::Promise<void> sendNext()
    {
        for (int i = 0; i < burst; ++i)
            responses_.add(
                    links_.call(peer_, callTaking(milliseconds(1))).eagerlyEvaluate(nullptr));
        return timer_.afterDelay(200 * kj::MICROSECONDS).then([this]() { return sendNext(); });
    }

    PeerLinks &links_;
    kj::Timer &timer_;
    core::identity::NetworkAddress peer_;
    kj::Vector<kj::Promise<CallResponse>> responses_;
    kj::Promise<void> sending_;
};

/** A peer of an earlier release: it serves calls and knows no later method. */
class EarlierPeer final : public transport::wire::schema::Peer::Server
{
public:
    kj::Promise<void> call(CallContext context) override
    {
        auto answer = context.getResults().initAnswer();
        answer.setOutcome(static_cast<std::uint8_t>(CallOutcome::Completed));
        answer.setStatus(200);
        return kj::READY_NOW;
    }
};

} // namespace

TEST_F(LinkClosing, leavesNoCallUnknownThatWasSentWhileThePeerLeft)
{
    constexpr int rounds = 20;
    std::map<CallOutcome, int> outcomes;
    for (int round = 0; round < rounds; ++round) {
        auto peer = kj::heap<PeerThread>();
        CallStream calls(links_, timer_, peer->address());
        pass(milliseconds(10));
        peer->refuseCalls().wait(io_.waitScope);
        pass(milliseconds(5));
        EXPECT_TRUE(peer->closeLinks(closeTimeout).wait(io_.waitScope));
        peer = nullptr;
        pass(milliseconds(5));
        for (const CallResponse &response : calls.end().wait(io_.waitScope)) {
            ++outcomes[response.outcome];
            if (response.outcome == CallOutcome::Unknown)
                ADD_FAILURE() << "round " << round << ": " << response.reason;
        }
    }
    EXPECT_GT(outcomes[CallOutcome::Completed], 0);
    EXPECT_GT(outcomes[CallOutcome::NotRun], 0);
}

TEST_F(LinkClosing, deliversAResponseInProgressAndClosesTheLinkAfterIt)
{
    PeerThread peer;
    auto slowCall
            = links_.call(peer.address(), callTaking(milliseconds(300))).eagerlyEvaluate(nullptr);
    pass(milliseconds(100));
    bool isClosed = false;
    auto closed = peer.closeLinks(closeTimeout)
                          .then([&isClosed](bool areClosed) { isClosed = areClosed; })
                          .eagerlyEvaluate(nullptr);
    pass(milliseconds(100));
    EXPECT_FALSE(isClosed);
    EXPECT_EQ(call(peer.address(), milliseconds(1)).outcome, CallOutcome::NotRun);
    const CallResponse response = slowCall.wait(io_.waitScope);
    EXPECT_EQ(response.outcome, CallOutcome::Completed) << response.reason;
    closed.wait(io_.waitScope);
    EXPECT_TRUE(isClosed);
}

TEST_F(LinkClosing, keepsUsingALinkToAPeerThatGivesNoNotice)
{
    auto listener
            = io_.provider->getNetwork().parseAddress("127.0.0.1:0").wait(io_.waitScope)->listen();
    const core::identity::NetworkAddress address{"127.0.0.1",
                                                 static_cast<std::uint16_t>(listener->getPort())};
    capnp::TwoPartyServer server(kj::heap<EarlierPeer>());
    auto accepted = listener->accept()
                            .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
                                return negotiateAccepted(kj::mv(stream), LinkCounters(counters_));
                            })
                            .then([&server](kj::Maybe<kj::Own<kj::AsyncIoStream>> &&negotiated) {
                                auto stream = kj::mv(KJ_ASSERT_NONNULL(negotiated));
                                auto closed = server.accept(*stream);
                                return closed.attach(kj::mv(stream));
                            })
                            .eagerlyEvaluate(nullptr);
    for (int i = 0; i < 3; ++i) {
        const CallResponse response = call(address, milliseconds(0));
        EXPECT_EQ(response.outcome, CallOutcome::Completed) << response.reason;
        pass(milliseconds(10));
    }
    EXPECT_EQ(counters_.counter("links_opened").value(), 1);
}

TEST_F(LinkClosing, leavesNoCallUnknownWhoseLinkIsOpenedWhileThePeerLeaves)
{
    constexpr int rounds = 20;
    constexpr int callsOfARound = 120;
    for (int round = 0; round < rounds; ++round) {
        auto peer = kj::heap<PeerThread>();
        std::list<PeerLinks> links;
        kj::Vector<kj::Promise<CallResponse>> responses;
        bool isClosed = false;
        peer->refuseCalls().wait(io_.waitScope);
        auto closing = peer->closeLinks(closeTimeout)
                               .then([&](bool areAllClosed) {
                                   isClosed = true;
                                   EXPECT_TRUE(areAllClosed);
                               })
                               .eagerlyEvaluate(nullptr);
        for (int i = 0; i < callsOfARound && !isClosed; ++i) {
            PeerLinks &opened = links.emplace_back(
                    io_.provider->getNetwork(), timer_,
                    [](const auto & /*address*/) { return LinkEncoding::Plain; },
                    LinkCounters(counters_));
            responses.add(opened.call(peer->address(), callTaking(milliseconds(1)))
                                  .eagerlyEvaluate(nullptr));
            timer_.afterDelay(50 * kj::MICROSECONDS).wait(io_.waitScope);
        }
        closing.wait(io_.waitScope);
        peer = nullptr;
        for (auto &response : responses) {
            const CallResponse received = response.wait(io_.waitScope);
            EXPECT_NE(received.outcome, CallOutcome::Unknown)
                    << "round " << round << ": " << received.reason;
        }
    }
}

TEST_F(LinkClosing, grantsNoClaimOnceOtherPeersTakeTheClaimsForLost)
{
    PeerThread peer;
    const core::identity::IdempotencyKey key("k");
    const core::identity::NodeId claimant("a");
    const auto running = links_.call(peer.address(), callTaking(milliseconds(300)));
    EXPECT_EQ(links_.claim(peer.address(), key, claimant).wait(io_.waitScope), claimant);
    bool isGranted = false;
    auto claimed = kj::evalLater([&]() {
                       return peer.closeLinks(closeTimeout);
                   }).then([](bool /*areAllClosed*/) {
                     }).eagerlyEvaluate(nullptr);
    pass(milliseconds(50));
    links_.claim(peer.address(), key, claimant)
            .then([&](const core::identity::NodeId & /*holder*/) { isGranted = true; },
                  [](kj::Exception && /*exception*/) {})
            .wait(io_.waitScope);
    EXPECT_FALSE(isGranted);
    claimed.wait(io_.waitScope);
}
