/** Tests that the inbound proxy protects a cold upstream while its node knows less than its peers.
 */
#include "transport/serving/InboundProxy.h"
#include "control/intent/IntentParser.h"
#include "tests/unit/ScriptedUpstream.h"
#include "tests/unit/TestIntent.h"
#include "traffic/admission/FixedConcurrency.h"
#include "transport/dialect/NativeDialect.h"
#include "transport/links/PeerLinks.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using core::identity::NodeId;
using core::identity::ServiceName;
using core::identity::VersionName;
using std::chrono::milliseconds;
using traffic::admission::ColdPacer;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::inbound::ColdRate;
using transport::serving::InboundProxy;
using transport::serving::UpstreamStatus;

namespace {

const ScriptedResponse response("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
const ScriptedResponse lateFailure(std::vector<ScriptedResponse::Piece>{
        {milliseconds(20), "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"}});
constexpr double coldRate = 10.0;
constexpr milliseconds duration{1000};
// A pacer at this rate lets its burst pass and one call for each interval.
constexpr int maximumCalls = static_cast<int>(coldRate + ColdPacer::burst) + 1;

/** An inbound proxy before a cold upstream that responds at once. */
class InboundProxyTest : public testing::Test
{
protected:
    InboundProxyTest()
    {
        auto empty = std::make_shared<traffic::routing::RoutingSnapshot>();
        empty->intent = std::make_shared<control::intent::IntentSnapshot>();
        routing_.publish(empty);
        request_.method = "GET";
        request_.target = "/";
        request_.service = ServiceName("payments");
        request_.version = VersionName("v1");
    }

    // 20 connections that respond to 1000 requests each.
    static ScriptedUpstream::Script script()
    {
        return ScriptedUpstream::Script(20, std::vector<ScriptedResponse>(1000, response));
    }

    ~InboundProxyTest() noexcept override {}

    // Ends the upstream's process and starts the next one at the same address.
    void restartUpstream()
    {
        const std::uint16_t port = upstream_->address().port;
        upstream_ = nullptr;
        callFor(milliseconds(50));
        upstream_ = kj::heap<ScriptedUpstream>(io_, script(), port);
    }

    void announce(milliseconds coldLeft)
    {
        UpstreamStatus status;
        status.record = {ServiceName("payments"), VersionName("v1"),
                         control::membership::UpstreamState::Serving, 9};
        status.instance = "i-1";
        status.address = upstream_->address();
        status.coldLeft = coldLeft;
        proxy_.setUpstream(status);
    }

    // Puts an intent in force whose cold rate is the given one.
    void applyIntent(double rate)
    {
        nlohmann::json json = tests::intentJson();
        for (auto &service : json["services"])
            service["coldRate"] = rate;
        core::findings::FindingList findings("intent");
        const auto document = control::intent::readIntent(json, findings);
        ASSERT_TRUE(document) << findings.toString();
        auto snapshot = std::make_shared<traffic::routing::RoutingSnapshot>();
        snapshot->intent = std::make_shared<control::intent::IntentSnapshot>(
                core::identity::Revision(1), *document, core::identity::DataCentreId("ikeja"),
                core::timing::WallTime{});
        routing_.publish(snapshot);
    }

    // Makes the node the only one that stores claims.
    void beKnownAsRegistrar()
    {
        auto snapshot = std::make_shared<traffic::routing::RoutingSnapshot>(*routing_.current());
        auto members = std::make_shared<traffic::routing::RoutableMembers>();
        traffic::routing::Registrar registrar;
        registrar.node = NodeId("self");
        members->registrars.push_back(registrar);
        snapshot->members = members;
        routing_.publish(snapshot);
    }

    CallRequest keyedRequest(const std::string &body) const
    {
        CallRequest request = request_;
        request.requestId = "r-1";
        request.method = "POST";
        request.key = core::identity::IdempotencyKey("k");
        request.body = body;
        request.budget = request.objective = milliseconds(500);
        return request;
    }

    // Sends calls one after the other. Returns how many the upstream ran.
    int callFor(milliseconds time)
    {
        int run = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            pauses_.recordTick(std::chrono::steady_clock::now());
            CallRequest request = request_;
            request.budget = milliseconds(50);
            request.objective = request.budget;
            const auto received = proxy_.serve(std::move(request)).wait(io_.waitScope);
            run += received.outcome == CallOutcome::Completed;
            // A refused caller does not return at once.
            io_.provider->getTimer().afterDelay(2 * kj::MILLISECONDS).wait(io_.waitScope);
        }
        return run;
    }

    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    transport::timing::PreciseTimer timer_{io_.provider->getTimer()};
    core::counters::CounterRegistry counters_;
    transport::links::PeerLinks links_{
            io_.provider->getNetwork(), timer_,
            [](const auto & /*address*/) { return transport::links::LinkEncoding::Plain; },
            transport::links::LinkCounters(counters_)};
    const transport::dialect::NativeDialect dialect_;
    core::concurrency::Published<traffic::routing::RoutingSnapshot> routing_{
            std::make_shared<traffic::routing::RoutingSnapshot>()};
    core::timing::PauseDetector pauses_{std::chrono::steady_clock::now()};
    std::vector<control::moves::CallEvidence> evidence_;
    traffic::usage::UsageMeter meter_{milliseconds(1000), core::timing::currentWallTime()};
    transport::http::MemoryBudget memory_{std::size_t{1} << 20, counters_};
    kj::Own<ScriptedUpstream> upstream_ = kj::heap<ScriptedUpstream>(io_, script());
    InboundProxy proxy_{{NodeId("self"), NodeId("self@1"), links_, io_.provider->getNetwork(),
                         timer_, dialect_, routing_,
                         std::make_unique<traffic::admission::FixedConcurrency>(
                                 traffic::admission::AdmissionLimits{}),
                         [this](const control::moves::CallEvidence &evidence) {
                             evidence_.push_back(evidence);
                         },
                         pauses_, counters_, &meter_,
                         std::make_unique<traffic::admission::ObjectiveOrder>(), &memory_}};
    CallRequest request_;
};

} // namespace

// FAILBACK: a node without an intent served its peers' calls to a cold upstream without a limit.
TEST_F(InboundProxyTest, pacesAColdUpstreamByTheRateOfACallBeforeTheFirstIntent)
{
    announce(milliseconds(3000));
    request_.coldRate = coldRate;
    const int run = callFor(duration);
    EXPECT_GT(run, 0);
    EXPECT_LE(run, maximumCalls);
}

TEST_F(InboundProxyTest, sendsAColdUpstreamNoCallsWhileNoRateIsKnown)
{
    announce(milliseconds(3000));
    EXPECT_EQ(callFor(milliseconds(200)), 0);
    announce(milliseconds(0));
    EXPECT_GT(callFor(milliseconds(200)), 0) << "once it is warm";
}

// An intent from before the service was added says nothing about it.
TEST_F(InboundProxyTest, pacesAColdUpstreamWhoseServiceTheIntentLacks)
{
    applyIntent(0.0);
    UpstreamStatus status;
    status.record = {ServiceName("added"), VersionName("v1"),
                     control::membership::UpstreamState::Serving, 9};
    status.instance = "i-2";
    status.address = upstream_->address();
    status.coldLeft = milliseconds(3000);
    proxy_.setUpstream(status);
    request_.service = ServiceName("added");
    EXPECT_EQ(callFor(milliseconds(100)), 0);
    request_.coldRate = coldRate;
    const int run = callFor(duration);
    EXPECT_GT(run, 0);
    EXPECT_LE(run, maximumCalls);
}

TEST_F(InboundProxyTest, pacesAColdUpstreamByTheLowerRateOfIntentAndCall)
{
    applyIntent(coldRate);
    announce(milliseconds(3000));
    request_.coldRate = 100 * coldRate;
    const int run = callFor(duration);
    EXPECT_GT(run, 0);
    EXPECT_LE(run, maximumCalls);
}

// FAILBACK: the first announcement of an upstream that starts again under its name may be late.
TEST_F(InboundProxyTest, pacesAnUpstreamThatStartsAgainBeforeItsFirstAnnouncement)
{
    applyIntent(coldRate);
    announce(milliseconds(0));
    EXPECT_GT(callFor(milliseconds(200)), maximumCalls) << "a warm upstream is not paced";
    restartUpstream();
    const int run = callFor(duration);
    EXPECT_GT(run, 0);
    EXPECT_LE(run, maximumCalls);
}

// KNOWN-RED 17: calls that failed because nodes were killed hid the failures of a bad version,
// whose rate is compared with that of the old one.
TEST_F(InboundProxyTest, takesNoFailureThatFollowsFromANestedCallForEvidence)
{
    auto snapshot = std::make_shared<traffic::routing::RoutingSnapshot>(*routing_.current());
    snapshot->needsEvidence = true;
    routing_.publish(snapshot);
    upstream_
            = kj::heap<ScriptedUpstream>(io_, ScriptedUpstream::Script{{lateFailure, lateFailure}});
    announce(milliseconds(0));
    for (const bool hasFailedNestedCall : {false, true}) {
        CallRequest request = request_;
        request.requestId = "r-1";
        request.budget = request.objective = milliseconds(500);
        auto response = proxy_.serve(std::move(request)).eagerlyEvaluate(nullptr);
        io_.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io_.waitScope);
        EXPECT_TRUE(proxy_.runningCalls().attemptOf("r-1"));
        if (hasFailedNestedCall)
            proxy_.runningCalls().recordFailedNestedCall("r-1");
        EXPECT_TRUE(response.wait(io_.waitScope).isFailure());
        ASSERT_EQ(evidence_.size(), 1U);
        EXPECT_TRUE(evidence_.front().isFailed);
    }
}

// Organisations pay for what ran: neither for requests that were refused nor for those that the
// upstream never got.
TEST_F(InboundProxyTest, countsTheRequestsOfOrganisationsThatBeganToRun)
{
    const auto counted = [this]() {
        std::uint64_t requests = 0;
        for (const auto &window : meter_.snapshot(core::timing::currentWallTime())) {
            for (const auto &[organisation, count] : window.counts)
                requests += count;
        }
        return requests;
    };
    applyIntent(0.0);
    announce(milliseconds(0));
    EXPECT_GT(callFor(milliseconds(50)), 0);
    EXPECT_EQ(counted(), 0U) << "requests of no organisation";
    request_.organisation = core::identity::OrganisationName("kabo51");
    const int run = callFor(milliseconds(50));
    EXPECT_EQ(counted(), static_cast<std::uint64_t>(run));
    upstream_ = nullptr;
    // The request on the idle connection may have run.
    callFor(milliseconds(1));
    const std::uint64_t last = counted();
    EXPECT_LE(last, static_cast<std::uint64_t>(run) + 1);
    EXPECT_EQ(callFor(milliseconds(50)), 0);
    EXPECT_EQ(counted(), last) << "requests to an upstream that is gone";
    proxy_.drain();
    EXPECT_EQ(callFor(milliseconds(50)), 0);
    EXPECT_EQ(counted(), last) << "refused requests";
}

// Guards against bodies of keyed requests that are no longer counted once their callers have left,
// although the requests run on.
TEST_F(InboundProxyTest, countsTheBodyOfAKeyedRequestUntilItHasRun)
{
    beKnownAsRegistrar();
    upstream_ = kj::heap<ScriptedUpstream>(io_, ScriptedUpstream::Script{{lateFailure}});
    announce(milliseconds(0));
    // The scripted upstream responds once what it has read ends like a head.
    const std::string body = std::string(1000, 'x') + "\r\n\r\n";
    auto response = proxy_.serve(keyedRequest(body)).eagerlyEvaluate(nullptr);
    EXPECT_EQ(memory_.used(), body.size());
    response = nullptr;
    EXPECT_EQ(memory_.used(), body.size());
    io_.provider->getTimer().afterDelay(1000 * kj::MILLISECONDS).wait(io_.waitScope);
    EXPECT_EQ(memory_.used(), 0);
}

// Guards against a process that crashes at its end because a keyed request still runs.
TEST_F(InboundProxyTest, endsWhileAKeyedRequestRuns)
{
    beKnownAsRegistrar();
    announce(milliseconds(0));
    auto response = proxy_.serve(keyedRequest("x")).eagerlyEvaluate(nullptr);
    io_.provider->getTimer().afterDelay(20 * kj::MILLISECONDS).wait(io_.waitScope);
    EXPECT_TRUE(proxy_.runningCalls().attemptOf("r-1"));
    response = nullptr;
}

//==============================================================================
TEST(ColdRate, isTheLowestKnownOneAndFollowsTheIntent)
{
    ColdRate rate;
    EXPECT_EQ(rate.rate(), std::nullopt);
    rate.learn(std::nullopt);
    EXPECT_EQ(rate.rate(), std::nullopt);
    rate.learn(0.0);
    EXPECT_EQ(rate.rate(), 0.0) << "no limit";
    rate.learn(30.0);
    rate.learn(20.0);
    rate.learn(40.0);
    EXPECT_EQ(rate.rate(), 20.0);
    rate.setIntended(25.0);
    EXPECT_EQ(rate.rate(), 25.0) << "calls from before the change no longer count";
    rate.learn(0.0);
    EXPECT_EQ(rate.rate(), 25.0);
    rate.setIntended(std::nullopt);
    EXPECT_EQ(rate.rate(), std::nullopt);
}
