/** Tests that a response which waits in a socket wins over the deadline of a keyed call. */
#include "traffic/admission/FixedConcurrency.h"
#include "transport/links/PeerLinks.h"
#include "transport/serving/KeyedCalls.h"
#include "transport/timing/Deadline.h"

#include <gtest/gtest.h>
#include <thread>

using namespace boragetrack;
using std::chrono::milliseconds;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using namespace transport::serving;

namespace {

/** Grants each claim. */
class LocalClaims : public transport::links::CallServer
{
public:
    kj::Promise<CallResponse> serve(CallRequest /*request*/) override { return CallResponse{}; }
    core::identity::NodeId claim(const core::identity::IdempotencyKey & /*key*/,
                                 const core::identity::NodeId &claimant) override
    {
        return claimant;
    }
    void release(const core::identity::IdempotencyKey & /*key*/,
                 const core::identity::NodeId & /*claimant*/) override
    {}
};

} // namespace

TEST(LateKeyedCall, deliversAResponseThatWaitsInTheSocketAtTheDeadline)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    transport::timing::PreciseTimer timer(io.provider->getTimer());
    core::counters::CounterRegistry counters;
    transport::links::PeerLinks links(
            io.provider->getNetwork(), timer,
            [](const auto & /*address*/) { return transport::links::LinkEncoding::Plain; },
            transport::links::LinkCounters(counters));
    LocalClaims local;
    ClaimClient claims(links, local, core::identity::NodeId("a"));
    const traffic::admission::AdmissionLimits limits;
    AdmissionController admission(std::make_unique<traffic::admission::FixedConcurrency>(limits),
                                  timer);
    core::concurrency::Published<traffic::routing::RoutingSnapshot> routing(
            std::make_shared<traffic::routing::RoutingSnapshot>());
    kj::TwoWayPipe pipe = io.provider->newTwoWayPipe();
    char byte = 0;
    // As UpstreamClient does: the call's own deadline lets a response in the socket win.
    const auto send
            = [&](CallRequest &request,
                  kj::Own<AdmissionController::ScopedPermit> permit) -> kj::Promise<CallResponse> {
        kj::Promise<CallResponse> response = pipe.ends[0]->read(&byte, 1).then([]() {
            CallResponse found;
            found.outcome = CallOutcome::Completed;
            found.status = 200;
            return found;
        });
        return transport::timing::resultWithin(timer, request.budget.count() * kj::MICROSECONDS,
                                               kj::mv(response))
                .catch_([](kj::Exception && /*exception*/) {
                    return CallResponse::unknown("inner deadline");
                })
                .attach(kj::mv(permit));
    };
    KeyedCalls calls({core::identity::NodeId("a"), claims, admission, send, timer, routing});
    auto request = kj::heap<CallRequest>();
    request->key = core::identity::IdempotencyKey("k");
    request->budget = milliseconds(200);
    auto call = calls.serve(kj::mv(request)).eagerlyEvaluate(nullptr);
    auto held = timer.afterDelay(50 * kj::MILLISECONDS)
                        .then([&]() {
                            auto written = pipe.ends[1]->write("x", 1);
                            std::this_thread::sleep_for(milliseconds(300));
                            return written;
                        })
                        .eagerlyEvaluate(nullptr);
    const CallResponse received = call.wait(io.waitScope);
    EXPECT_EQ(received.outcome, CallOutcome::Completed) << received.reason;
}
