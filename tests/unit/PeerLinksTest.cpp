/** Tests that a call in progress survives that its link is given up for another call. */
#include "transport/links/PeerLinks.h"
#include "core/counters/CounterRegistry.h"
#include "transport/links/LinkEncoding.h"
#include "transport/links/PeerServer.h"

#include <capnp/rpc-twoparty.h>
#include <gtest/gtest.h>
#include <kj/debug.h>

using namespace boragetrack;
using namespace boragetrack::transport::links;
using core::identity::IdempotencyKey;
using core::identity::NodeId;
using std::chrono::milliseconds;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

/** Responds to each call after the time that its body gives in milliseconds. */
class DelayingCalls : public CallServer
{
public:
    explicit DelayingCalls(kj::Timer &timer)
        : timer_(timer)
    {}

    kj::Promise<CallResponse> serve(CallRequest request) override
    {
        return timer_.afterDelay(std::stoi(request.body) * kj::MILLISECONDS).then([]() {
            CallResponse response;
            response.outcome = CallOutcome::Completed;
            response.status = 200;
            return response;
        });
    }
    NodeId claim(const IdempotencyKey & /*key*/, const NodeId &claimant) override
    {
        return claimant;
    }
    void release(const IdempotencyKey & /*key*/, const NodeId & /*claimant*/) override {}

private:
    kj::Timer &timer_;
};

/** Handles no control request. */
class NoControl : public PeerRequestHandler
{
public:
    void handleExchange(control::distribution::Exchange /*request*/,
                        Callback<control::distribution::Exchange> /*callback*/) override
    {}
    void handlePush(NodeId /*sender*/, control::distribution::IntentTransfer /*transfer*/,
                    Callback<core::identity::Revision> /*callback*/) override
    {}
    void handleFetchIntent(core::identity::Revision /*have*/,
                           Callback<control::distribution::IntentTransfer> /*callback*/) override
    {}
    void handleFetchMembers(
            control::membership::MemberTable::BucketHashes /*hashes*/,
            Callback<std::vector<control::membership::MemberRecord>> /*callback*/) override
    {}
    void handleUsage(control::usage::UsageSnapshot /*snapshot*/,
                     Callback<control::usage::UsageWindow> /*callback*/) override
    {}
};

/** Accepts exchanges and never responds to them. */
class SilentControl : public NoControl
{
public:
    void handleExchange(control::distribution::Exchange /*request*/,
                        Callback<control::distribution::Exchange> callback) override
    {
        pending_.push_back(std::move(callback));
    }

private:
    std::vector<Callback<control::distribution::Exchange>> pending_;
};

/** Serves the first link that a listener accepts. */
kj::Promise<void> acceptOne(kj::ConnectionReceiver &listener, const LinkCounters &counters,
                            transport::wire::schema::Peer::Client server)
{
    return listener.accept()
            .then([&counters](kj::Own<kj::AsyncIoStream> &&stream) {
                return negotiateAccepted(kj::mv(stream), counters);
            })
            .then([server
                   = kj::mv(server)](kj::Maybe<kj::Own<kj::AsyncIoStream>> &&negotiated) mutable {
                auto stream = kj::mv(KJ_ASSERT_NONNULL(negotiated));
                auto vat = kj::heap<capnp::TwoPartyVatNetwork>(*stream,
                                                               capnp::rpc::twoparty::Side::SERVER);
                auto system = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
                        capnp::makeRpcServer(*vat, server));
                auto closed = vat->onDisconnect();
                return closed.attach(kj::mv(system)).attach(kj::mv(vat)).attach(kj::mv(stream));
            })
            .eagerlyEvaluate(nullptr);
}

CallRequest callTaking(milliseconds serviceTime, milliseconds budget)
{
    CallRequest request;
    request.body = std::to_string(serviceTime.count());
    request.budget = budget;
    return request;
}

} // namespace

// Two calls share a link. The first one times out before the link has delivered any response, so
// the link counts as unresponsive and the next call opens another one.
TEST(PeerLinks, deliversTheResponseToACallWhoseLinkWasGivenUp)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Network &network = io.provider->getNetwork();
    transport::timing::PreciseTimer timer(io.provider->getTimer());
    core::counters::CounterRegistry counters;
    const LinkCounters linkCounters(counters);
    NoControl control;
    ClosingNotice closing;
    DelayingCalls calls(timer);
    transport::wire::schema::Peer::Client server = kj::heap<PeerServer>(control, calls, closing);
    auto listener = network.parseAddress("127.0.0.1:0").wait(io.waitScope)->listen();
    const core::identity::NetworkAddress address{"127.0.0.1",
                                                 static_cast<std::uint16_t>(listener->getPort())};
    auto accepted = acceptOne(*listener, linkCounters, server);
    PeerLinks links(
            network, timer, [](const auto & /*address*/) { return LinkEncoding::Plain; },
            linkCounters);
    const CallRequest slow = callTaking(milliseconds(400), milliseconds(3000));
    const CallRequest late = callTaking(milliseconds(1000), milliseconds(100));
    auto slowCall = links.call(address, slow).eagerlyEvaluate(nullptr);
    auto lateCall = links.call(address, late).eagerlyEvaluate(nullptr);
    EXPECT_EQ(lateCall.wait(io.waitScope).outcome, CallOutcome::Unknown);
    const CallResponse response = slowCall.wait(io.waitScope);
    EXPECT_EQ(response.outcome, CallOutcome::Completed) << response.reason;
}

// A link that carries control messages only would stay in use for as long as its peer's kernel
// acknowledges what it gets, and each exchange on it would fail.
TEST(PeerLinks, givesUpALinkOnWhichAControlRequestGotNoResponse)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Network &network = io.provider->getNetwork();
    transport::timing::PreciseTimer timer(io.provider->getTimer());
    core::counters::CounterRegistry counters;
    const LinkCounters linkCounters(counters);
    SilentControl control;
    ClosingNotice closing;
    DelayingCalls calls(timer);
    transport::wire::schema::Peer::Client server = kj::heap<PeerServer>(control, calls, closing);
    auto listener = network.parseAddress("127.0.0.1:0").wait(io.waitScope)->listen();
    const core::identity::NetworkAddress address{"127.0.0.1",
                                                 static_cast<std::uint16_t>(listener->getPort())};
    auto accepted = acceptOne(*listener, linkCounters, server);
    PeerLinks links(
            network, timer, [](const auto & /*address*/) { return LinkEncoding::Plain; },
            linkCounters);
    EXPECT_ANY_THROW(links.exchange(address, {}).wait(io.waitScope));
    EXPECT_EQ(counters.counter("links_opened").value(), 1U);
    EXPECT_EQ(counters.counter("links_given_up").value(), 1U);
}
