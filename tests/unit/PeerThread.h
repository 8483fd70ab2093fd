/** A peer whose event loop is not the test's. */
#pragma once

#include "core/counters/CounterRegistry.h"
#include "core/identity/NetworkAddress.h"
#include "tests/unit/HeldControl.h"
#include "transport/links/CallServer.h"
#include "transport/links/LinkListener.h"

#include <future>
#include <thread>

/** Serves links on loopback in a thread of its own. Each call gets a response after the time that
   its body gives in milliseconds. The peer can leave as a node does in a planned stop: it refuses
   new calls, closes its links and, when it is destroyed, drops what is left. */
class PeerThread
{
public:
    PeerThread()
    {
        std::promise<std::uint16_t> listening;
        auto port = listening.get_future();
        thread_ = std::thread([this, &listening]() { run(listening); });
        address_ = {"127.0.0.1", port.get()};
    }

    ~PeerThread()
    {
        stop_->fulfill();
        thread_.join();
    }
    PeerThread(const PeerThread &) = delete;
    PeerThread &operator=(const PeerThread &) = delete;

    const boragetrack::core::identity::NetworkAddress &address() const { return address_; }

    /** Refuses new calls from now on. Awaited on the event loop of the calling thread. */
    kj::Promise<void> refuseCalls()
    {
        return executor_->executeAsync([this]() { calls_->refuseCalls(); });
    }

    /** Closes the links. Awaited on the event loop of the calling thread.
        @returns whether all were closed within the timeout */
    kj::Promise<bool> closeLinks(std::chrono::milliseconds timeout)
    {
        return executor_->executeAsync([this, timeout]() {
            return listener_->closeLinks(timer_->now() + timeout.count() * kj::MILLISECONDS);
        });
    }

private:
    using CallOutcome = boragetrack::traffic::calls::CallOutcome;
    using CallRequest = boragetrack::traffic::calls::CallRequest;
    using CallResponse = boragetrack::traffic::calls::CallResponse;
    using LinkListener = boragetrack::transport::links::LinkListener;

    class Calls : public boragetrack::transport::links::CallServer
    {
    public:
        explicit Calls(kj::Timer &timer)
            : timer_(timer)
        {}

        void refuseCalls() { refusesCalls_ = true; }

        kj::Promise<CallResponse> serve(CallRequest request) override
        {
            if (refusesCalls_)
                return CallResponse::notRun("leaving");
            return timer_.afterDelay(std::stoi(request.body) * kj::MILLISECONDS).then([]() {
                CallResponse response;
                response.outcome = CallOutcome::Completed;
                response.status = 200;
                return response;
            });
        }
        boragetrack::core::identity::NodeId
        claim(const boragetrack::core::identity::IdempotencyKey & /*key*/,
              const boragetrack::core::identity::NodeId &claimant) override
        {
            return claimant;
        }
        void release(const boragetrack::core::identity::IdempotencyKey & /*key*/,
                     const boragetrack::core::identity::NodeId & /*claimant*/) override
        {}

    private:
        kj::Timer &timer_;
        bool refusesCalls_ = false;
    };

    void run(std::promise<std::uint16_t> &listening)
    {
        kj::AsyncIoContext io = kj::setupAsyncIo();
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        stop_ = kj::mv(stop.fulfiller);
        executor_ = kj::getCurrentThreadExecutor().addRef();
        Calls calls(io.provider->getTimer());
        boragetrack::tests::HeldControl control;
        LinkListener listener(io.provider->getNetwork(), io.provider->getTimer(), control, calls,
                              boragetrack::transport::links::LinkCounters(registry_));
        timer_ = &io.provider->getTimer();
        calls_ = &calls;
        listener_ = &listener;
        const absl::Status status = listener.listen({"127.0.0.1", 0}, io.waitScope);
        listening.set_value(status.ok() ? listener.port() : std::uint16_t{0});
        stop.promise.wait(io.waitScope);
    }

    boragetrack::core::counters::CounterRegistry registry_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
    kj::Own<const kj::Executor> executor_;
    boragetrack::core::identity::NetworkAddress address_;
    // Used on the peer's thread only.
    kj::Timer *timer_ = nullptr;
    Calls *calls_ = nullptr;
    LinkListener *listener_ = nullptr;
    std::thread thread_;
};
