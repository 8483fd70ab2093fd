/** Tests that calls keep their time, and get their responses, on an event loop that is late. */
#include "tests/unit/PeerThread.h"
#include "transport/links/PeerLinks.h"
#include "transport/timing/PreciseTimer.h"

#include <gtest/gtest.h>

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

/** Links on an event loop that a test can hold up. */
class LateLoop : public testing::Test
{
protected:
    LateLoop()
        : io_(kj::setupAsyncIo())
        , timer_(io_.provider->getTimer())
        , links_(
                  io_.provider->getNetwork(), timer_,
                  [](const auto & /*address*/) { return LinkEncoding::Plain; },
                  LinkCounters(counters_))
    {
        links_.call(peer_.address(), callTaking(milliseconds(0), milliseconds(5000)))
                .wait(io_.waitScope);
    }

    ~LateLoop() noexcept override = default;

    static void holdUp(milliseconds time) { std::this_thread::sleep_for(time); }

    core::counters::CounterRegistry counters_;
    PeerThread peer_;
    kj::AsyncIoContext io_;
    transport::timing::PreciseTimer timer_;
    PeerLinks links_;
};

} // namespace

TEST_F(LateLoop, doesNotEndACallBeforeItsDeadline)
{
    const CallRequest request = callTaking(milliseconds(500), milliseconds(700));
    const CallResponse response = kj::evalLater([&]() {
                                      holdUp(milliseconds(400));
                                      return links_.call(peer_.address(), request);
                                  }).wait(io_.waitScope);
    EXPECT_EQ(response.outcome, CallOutcome::Completed) << response.reason;
}

TEST_F(LateLoop, deliversAResponseThatWaitsInTheSocketAtTheDeadline)
{
    const CallRequest request = callTaking(milliseconds(100), milliseconds(300));
    auto call = links_.call(peer_.address(), request).eagerlyEvaluate(nullptr);
    auto delay = timer_.afterDelay(50 * kj::MILLISECONDS)
                         .then([]() { holdUp(milliseconds(600)); })
                         .eagerlyEvaluate(nullptr);
    const CallResponse response = call.wait(io_.waitScope);
    EXPECT_EQ(response.outcome, CallOutcome::Completed) << response.reason;
}
