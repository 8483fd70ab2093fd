/** Tests that callers' limits come from an intent that still exists when they are read. */
#include "transport/callers/CallerServer.h"

#include "traffic/retry/PlainRetry.h"
#include "traffic/routing/RoundRobinRouting.h"
#include "transport/dialect/NativeDialect.h"

#include <gtest/gtest.h>

#include <atomic>
#include <deque>
#include <thread>

using namespace boragetrack;
using control::intent::IntentSnapshot;
using core::concurrency::Published;
using traffic::routing::RoutingSnapshot;

namespace {

constexpr std::uint32_t headerBytes = 4321;
constexpr int changes = 20'000;

class NoSender : public transport::links::CallSender
{
public:
    kj::Promise<traffic::calls::CallResponse>
    send(const core::identity::NodeId & /*node*/,
         const core::identity::NetworkAddress & /*address*/,
         const traffic::calls::CallRequest & /*request*/) override
    {
        return traffic::calls::CallResponse{};
    }
};

/** Makes snapshots whose intent loses its limits once nobody holds it. Its memory stays valid, so
    that a late read has a defined result. */
class IntentSource
{
public:
    std::shared_ptr<const RoutingSnapshot> next()
    {
        control::intent::IntentDocument document;
        document.callerLimits.headerBytes = headerBytes;
        IntentSnapshot &intent = intents_.emplace_back(
                core::identity::Revision(intents_.size() + 1), std::move(document),
                core::identity::DataCentreId("ikeja"), core::timing::WallTime{});
        auto snapshot = std::make_shared<RoutingSnapshot>();
        snapshot->intent = std::shared_ptr<const IntentSnapshot>(
                &intent, [&intent](const IntentSnapshot * /*released*/) { intent = {}; });
        return snapshot;
    }

private:
    std::deque<IntentSnapshot> intents_;
};

class CallerServerTest : public testing::Test
{
protected:
    IntentSource intents_;
    Published<RoutingSnapshot> routing_{intents_.next()};
    Published<traffic::access::StoreContactTime> storeContact_{
            std::make_shared<const traffic::access::StoreContactTime>()};
    transport::dialect::NativeDialect dialect_;
    NoSender sender_;
    traffic::routing::RoundRobinRouting routingPolicy_;
    traffic::retry::PlainRetry retryPolicy_;
    traffic::calls::RunningCalls runningCalls_;
    core::timing::PauseDetector pauses_{std::chrono::steady_clock::now()};
    traffic::access::KeyFreshness keyFreshness_{{}};
    core::counters::CounterRegistry counters_;
    transport::callers::CallerServer server_{{routing_, dialect_, sender_, routingPolicy_,
                                              retryPolicy_, runningCalls_,
                                              core::identity::ServiceName("payments"), pauses_,
                                              keyFreshness_, storeContact_, counters_}};
};

} // namespace

// Guards against reading the limits of an intent that the control thread has just replaced.
TEST_F(CallerServerTest, readsItsLimitsFromAnIntentThatItHolds)
{
    std::atomic<bool> isOver = false;
    std::thread control([&]() {
        for (int change = 0; change < changes; ++change)
            routing_.publish(intents_.next());
        isOver = true;
    });
    int wrongReads = 0;
    while (!isOver)
        wrongReads += server_.limits().message.headerBytes == headerBytes ? 0 : 1;
    control.join();
    EXPECT_EQ(wrongReads, 0);
}
