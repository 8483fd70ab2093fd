/** A peer whose event loop is not the test's. */
#pragma once

#include "core/counters/CounterRegistry.h"
#include "core/identity/NetworkAddress.h"
#include "transport/links/CallServer.h"
#include "transport/links/LinkEncoding.h"
#include "transport/links/PeerServer.h"

#include <capnp/rpc-twoparty.h>
#include <future>
#include <thread>

/** Serves links on loopback in a thread of its own. Each call gets a response after the time that
    its body gives in milliseconds. */
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

private:
    using CallRequest = boragetrack::traffic::calls::CallRequest;
    using CallResponse = boragetrack::traffic::calls::CallResponse;

    class Calls : public boragetrack::transport::links::CallServer
    {
    public:
        explicit Calls(kj::Timer &timer)
            : timer_(timer)
        {}

        kj::Promise<CallResponse> serve(CallRequest request) override
        {
            return timer_.afterDelay(std::stoi(request.body) * kj::MILLISECONDS).then([]() {
                CallResponse response;
                response.outcome = boragetrack::traffic::calls::CallOutcome::Completed;
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
    };

    class NoControl : public boragetrack::transport::links::PeerRequestHandler
    {
    public:
        using Exchange = boragetrack::control::distribution::Exchange;
        using IntentTransfer = boragetrack::control::distribution::IntentTransfer;
        using MemberRecord = boragetrack::control::membership::MemberRecord;
        using BucketHashes = boragetrack::control::membership::MemberTable::BucketHashes;
        using Revision = boragetrack::core::identity::Revision;

        void handleExchange(Exchange /*request*/, Callback<Exchange> /*callback*/) override {}
        void handlePush(boragetrack::core::identity::NodeId /*sender*/, IntentTransfer /*transfer*/,
                        Callback<Revision> /*callback*/) override
        {}
        void handleFetchIntent(Revision /*have*/, Callback<IntentTransfer> /*callback*/) override {}
        void handleFetchMembers(BucketHashes /*hashes*/,
                                Callback<std::vector<MemberRecord>> /*callback*/) override
        {}
    };

    void run(std::promise<std::uint16_t> &listening)
    {
        kj::AsyncIoContext io = kj::setupAsyncIo();
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        stop_ = kj::mv(stop.fulfiller);
        Calls calls(io.provider->getTimer());
        NoControl control;
        boragetrack::transport::wire::schema::Peer::Client server
                = kj::heap<boragetrack::transport::links::PeerServer>(control, calls);
        auto listener = io.provider->getNetwork()
                                .parseAddress("127.0.0.1:0")
                                .wait(io.waitScope)
                                ->listen();
        auto links = acceptNext(*listener, server).eagerlyEvaluate(nullptr);
        listening.set_value(static_cast<std::uint16_t>(listener->getPort()));
        stop.promise.wait(io.waitScope);
    }

    kj::Promise<void> acceptNext(kj::ConnectionReceiver &listener,
                                 boragetrack::transport::wire::schema::Peer::Client &server)
    {
        return listener.accept()
                .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
                    return boragetrack::transport::links::negotiateAccepted(kj::mv(stream),
                                                                            counters_);
                })
                .then([&server](kj::Own<kj::AsyncIoStream> &&stream) {
                    auto vat = kj::heap<capnp::TwoPartyVatNetwork>(
                            *stream, capnp::rpc::twoparty::Side::SERVER);
                    auto system = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
                            capnp::makeRpcServer(*vat, server));
                    auto closed = vat->onDisconnect();
                    return closed.attach(kj::mv(system)).attach(kj::mv(vat)).attach(kj::mv(stream));
                })
                .then([this, &listener, &server]() { return acceptNext(listener, server); });
    }

    boragetrack::core::counters::CounterRegistry registry_;
    boragetrack::transport::links::LinkCounters counters_{registry_};
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
    boragetrack::core::identity::NetworkAddress address_;
    std::thread thread_;
};
