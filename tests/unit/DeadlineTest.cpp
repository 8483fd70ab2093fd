/** Tests that responses which wait in many sockets win over a deadline. */
#include "transport/timing/Deadline.h"
#include "transport/timing/PreciseTimer.h"

#include <chrono>
#include <gtest/gtest.h>
#include <kj/async-io.h>
#include <kj/vector.h>
#include <thread>

using namespace boragetrack;

namespace {

/** Returns how many of the bytes that wait in as many sockets lose to a deadline of a late loop. */
int countLost(int sockets)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    transport::timing::PreciseTimer timer(io.provider->getTimer());
    kj::Vector<kj::TwoWayPipe> pipes;
    std::vector<char> bytes(static_cast<std::size_t>(sockets));
    kj::Vector<kj::Promise<bool>> results;
    for (int i = 0; i < sockets; ++i)
        pipes.add(io.provider->newTwoWayPipe());
    for (int i = 0; i < sockets; ++i) {
        kj::Promise<bool> read = pipes[i].ends[0]->read(&bytes[i], 1).then([]() { return true; });
        results.add(transport::timing::resultWithin(timer, 100 * kj::MILLISECONDS, kj::mv(read))
                            .catch_([](kj::Exception && /*exception*/) { return false; })
                            .eagerlyEvaluate(nullptr));
    }
    auto held = timer.afterDelay(20 * kj::MILLISECONDS)
                        .then([&]() {
                            for (auto &pipe : pipes)
                                pipe.ends[1]->write("x", 1).detach([](kj::Exception &&exception) {
                                    FAIL() << exception.getDescription().cStr();
                                });
                            std::this_thread::sleep_for(std::chrono::milliseconds(200));
                        })
                        .eagerlyEvaluate(nullptr);
    int lost = 0;
    for (auto &result : results)
        lost += result.wait(io.waitScope) ? 0 : 1;
    return lost;
}

} // namespace

TEST(Deadline, everyResponseThatWaitsInASocketWinsOverIt)
{
    for (const int sockets : {8, 64, 200})
        EXPECT_EQ(countLost(sockets), 0) << sockets << " sockets";
}
