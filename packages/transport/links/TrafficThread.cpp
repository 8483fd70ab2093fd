/** Posts each operation to the event loop as a task. Everything that uses the loop belongs to
    Loop, which is created and destroyed on the thread. */
#include "transport/links/TrafficThread.h"

#include "core/events/EventLog.h"
#include "transport/links/PeerLinks.h"
#include "transport/links/PeerServer.h"

#include "transport/http/ServerListener.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace boragetrack::transport::links {

using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::distribution::PeerContact;
using control::membership::MemberRecord;
using control::membership::MemberTable;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::Revision;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

constexpr std::chrono::milliseconds drainCheckInterval{20};
// Time allowed for requests to arrive on the connections that were accepted last.
constexpr kj::Duration lastRequestTime = 100 * kj::MILLISECONDS;

// Maximum size of a message from a peer; a call's body and headers must fit.
constexpr std::uint64_t maximumMessageWords = std::uint64_t{16} * 1024 * 1024 / sizeof(capnp::word);

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maximumMessageWords;
    return options;
}

} // namespace

/** The objects that use the event loop; exists while the loop runs. */
class TrafficThread::Loop : private CallSender, private kj::TaskSet::ErrorHandler
{
public:
    Loop(Dependencies &dependencies, kj::AsyncIoContext &io)
        : timer_(io.provider->getTimer())
        , pauses_(std::chrono::steady_clock::now())
        , counters_(dependencies.counters)
        , routing_(dependencies.routing)
        , links_(
                  io.provider->getNetwork(), timer_,
                  [this](const NetworkAddress &address) { return encodingFor(address); }, counters_)
        , inbound_(serving::InboundProxy::Dependencies{
                  dependencies.self, dependencies.processId, links_, io.provider->getNetwork(),
                  timer_, dependencies.dialect, dependencies.routing,
                  std::move(dependencies.admission), dependencies.evidenceSink, pauses_,
                  dependencies.counters})
        , callers_(callers::CallerServer::Dependencies{
                  dependencies.routing, dependencies.dialect, *this, dependencies.routingPolicy,
                  dependencies.retryPolicy, inbound_.runningCalls(), dependencies.service, pauses_,
                  dependencies.counters})
        , callerListener_(io.provider->getNetwork(), timer_, callers_)
        , server_(kj::heap<PeerServer>(dependencies.requestHandler, inbound_))
        , self_(dependencies.self)
        , components_(dependencies.loopComponents)
        , tasks_(*this)
    {}

    ~Loop() noexcept override
    {
        for (LoopComponent *component : components_)
            component->stop();
    }

    absl::Status start(const Dependencies &dependencies, kj::AsyncIoContext &io)
    {
        LoopContext context{io.provider->getNetwork(), timer_, io.waitScope};
        try {
            auto address = context.network.parseAddress(dependencies.peerAddress.toString())
                                   .wait(io.waitScope);
            listener_ = address->listen();
        } catch (const kj::Exception &exception) {
            return absl::UnavailableError("cannot listen on " + dependencies.peerAddress.toString()
                                          + ": " + exception.getDescription().cStr());
        }
        tasks_.add(acceptNext());
        tasks_.add(recordTicks());
        for (LoopComponent *component : components_) {
            if (const absl::Status status = component->start(context); !status.ok())
                return status;
        }
        return callerListener_.listen(dependencies.callerAddress, io.waitScope);
    }

    // Runs a promise to completion. A failure is not reported; it shows as a missing response.
    void add(kj::Promise<void> task)
    {
        tasks_.add(task.catch_([](kj::Exception && /*exception*/) {}));
    }

    PeerLinks &links() { return links_; }
    serving::InboundProxy &inbound() { return inbound_; }
    callers::CallerServer &callers() { return callers_; }

    kj::Promise<bool> whenCallersDrained(kj::TimePoint limit)
    {
        if (callers_.isDrained() || timer_.now() >= limit)
            return callers_.isDrained();
        return timer_.afterDelay(drainCheckInterval.count() * kj::MILLISECONDS)
                .then([this, limit]() { return whenCallersDrained(limit); });
    }

    kj::Promise<bool> stopAcceptingCallers(kj::TimePoint limit)
    {
        callerListener_.stopAccepting();
        return timer_.afterDelay(lastRequestTime).then([this, limit]() {
            return whenCallersDrained(limit);
        });
    }

    void beginCallerDrain(std::chrono::milliseconds gracePeriod)
    {
        callers_.beginDrain();
        add(timer_.afterDelay(gracePeriod.count() * kj::MILLISECONDS).then([this]() {
            callers_.refuseCalls();
        }));
    }

    kj::Promise<bool> whenDrained(kj::TimePoint limit)
    {
        if (inbound_.activeCalls() == 0 || timer_.now() >= limit)
            return inbound_.activeCalls() == 0;
        return timer_.afterDelay(drainCheckInterval.count() * kj::MILLISECONDS)
                .then([this, limit]() { return whenDrained(limit); });
    }

    kj::TimePoint after(std::chrono::milliseconds time)
    {
        return timer_.now() + time.count() * kj::MILLISECONDS;
    }

private:
    kj::Promise<CallResponse> send(const NodeId &node, const NetworkAddress &address,
                                   const CallRequest &request) override
    {
        auto response = node == self_ ? inbound_.serve(request) : links_.call(address, request);
        return response.catch_([](kj::Exception &&exception) {
            return CallResponse::unknown(exception.getDescription().cStr());
        });
    }

    kj::Promise<void> recordTicks()
    {
        pauses_.recordTick(std::chrono::steady_clock::now());
        return timer_.afterDelay(core::timing::PauseDetector::tickPeriod.count() * kj::MILLISECONDS)
                .then([this]() { return recordTicks(); });
    }

    kj::Promise<void> acceptNext()
    {
        return listener_->accept().then([this](kj::Own<kj::AsyncIoStream> &&stream) {
            serve(kj::mv(stream));
            return acceptNext();
        });
    }

    void serve(kj::Own<kj::AsyncIoStream> accepted)
    {
        tasks_.add(negotiateAccepted(kj::mv(accepted), counters_)
                           .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
                               return serveRpc(kj::mv(stream));
                           }));
    }

    kj::Promise<void> serveRpc(kj::Own<kj::AsyncIoStream> stream)
    {
        auto network = kj::heap<capnp::TwoPartyVatNetwork>(
                *stream, capnp::rpc::twoparty::Side::SERVER, readerOptions());
        auto system = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
                capnp::makeRpcServer(*network, server_));
        auto closed = network->onDisconnect();
        // The RPC system must be destroyed first and the stream last. The objects are attached one
        // by one, since of several attachments in one call, the last is destroyed first.
        return closed.attach(kj::mv(system)).attach(kj::mv(network)).attach(kj::mv(stream));
    }

    // Bandwidth between data centres is expensive; within one, compression is not worth its CPU
    // time.
    LinkEncoding encodingFor(const NetworkAddress &address) const
    {
        const auto snapshot = routing_.current();
        for (const auto &member : snapshot->members->registrars) {
            if (member.address == address && member.dataCentre == snapshot->dataCentre)
                return LinkEncoding::Plain;
        }
        return LinkEncoding::Compressed;
    }

    void taskFailed(kj::Exception &&exception) override
    {
        core::events::logEvent(core::events::EventCode::PeerMessageRefused, "peer link failed",
                               {{"error", exception.getDescription().cStr()}});
    }

    kj::Timer &timer_;
    core::timing::PauseDetector pauses_;
    LinkCounters counters_;
    const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing_;
    PeerLinks links_;
    serving::InboundProxy inbound_;
    callers::CallerServer callers_;
    http::ServerListener callerListener_;
    wire::schema::Peer::Client server_;
    kj::Own<kj::ConnectionReceiver> listener_;
    NodeId self_;
    std::vector<LoopComponent *> components_;
    kj::TaskSet tasks_;
};

TrafficThread::TrafficThread(Dependencies dependencies)
    : dependencies_(std::move(dependencies))
{}

TrafficThread::~TrafficThread() noexcept
{
    stop();
}

absl::Status TrafficThread::start()
{
    std::promise<absl::Status> started;
    auto status = started.get_future();
    thread_ = std::thread(
            [this, promise = std::move(started)]() mutable { run(std::move(promise)); });
    return status.get();
}

void TrafficThread::stop()
{
    taskQueue_.close();
    if (thread_.joinable())
        thread_.join();
}

void TrafficThread::run(std::promise<absl::Status> started)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    Loop loop(dependencies_, io);
    if (const absl::Status status = loop.start(dependencies_, io); !status.ok()) {
        started.set_value(status);
        return;
    }
    loop_ = &loop;
    started.set_value(absl::OkStatus());
    taskQueue_.run().wait(io.waitScope);
    loop_ = nullptr;
}

//==============================================================================
void TrafficThread::setUpstream(const std::optional<serving::UpstreamStatus> &status)
{
    taskQueue_.post([this, status]() { loop_->inbound().setUpstream(status); });
}

void TrafficThread::beginCallerDrain(std::chrono::milliseconds gracePeriod)
{
    taskQueue_.post([this, gracePeriod]() { loop_->beginCallerDrain(gracePeriod); });
}

bool TrafficThread::awaitCallerDrain(std::chrono::milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<bool>>();
    auto drained = promise->get_future();
    const bool isPosted = taskQueue_.post([this, timeout, promise]() {
        const kj::TimePoint limit = loop_->after(timeout);
        loop_->add(loop_->whenCallersDrained(limit)
                           .then([this, limit](bool /*isDrained*/) {
                               return loop_->stopAcceptingCallers(limit);
                           })
                           .then([promise](bool isDrained) { promise->set_value(isDrained); }));
    });
    return !isPosted || drained.get();
}

bool TrafficThread::drain(std::chrono::milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<bool>>();
    auto drained = promise->get_future();
    const bool isPosted = taskQueue_.post([this, timeout, promise]() {
        loop_->inbound().drain();
        loop_->add(loop_->whenDrained(loop_->after(timeout)).then([promise](bool isDrained) {
            promise->set_value(isDrained);
        }));
    });
    return !isPosted || drained.get();
}

//==============================================================================
void TrafficThread::sendExchange(const PeerContact &peer, const Exchange &exchange)
{
    taskQueue_.post([this, peer, exchange]() {
        loop_->add(loop_->links()
                           .exchange(peer.address, exchange)
                           .then(
                                   [this, peer](Exchange &&response) {
                                       dependencies_.eventSink.exchangeResponseReceived(
                                               peer, std::move(response));
                                   },
                                   [this, peer](kj::Exception &&exception) {
                                       core::events::logEvent(
                                               core::events::EventCode::PeerUnreachable,
                                               "peer unreachable",
                                               {{"peer", peer.address.toString()},
                                                {"error", exception.getDescription().cStr()}});
                                       dependencies_.eventSink.exchangeFailed(peer);
                                   }));
    });
}

void TrafficThread::pushIntent(const PeerContact &peer, const IntentTransfer &transfer)
{
    taskQueue_.post([this, peer, transfer]() {
        loop_->add(loop_->links()
                           .pushIntent(peer.address, dependencies_.self, transfer)
                           .then([this](Revision revision) {
                               dependencies_.eventSink.pushResponseReceived(revision);
                           }));
    });
}

void TrafficThread::fetchIntent(const PeerContact &peer, Revision have)
{
    taskQueue_.post([this, peer, have]() {
        loop_->add(loop_->links()
                           .fetchIntent(peer.address, have)
                           .then([this, peer](IntentTransfer &&transfer) {
                               dependencies_.eventSink.intentFetched(peer, std::move(transfer));
                           }));
    });
}

void TrafficThread::fetchMembers(const PeerContact &peer, const MemberTable::BucketHashes &hashes)
{
    taskQueue_.post([this, peer, hashes]() {
        loop_->add(loop_->links()
                           .fetchMembers(peer.address, hashes)
                           .then([this](std::vector<MemberRecord> &&records) {
                               dependencies_.eventSink.membersFetched(std::move(records));
                           }));
    });
}

} // namespace boragetrack::transport::links
