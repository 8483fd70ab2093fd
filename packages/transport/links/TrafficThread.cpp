/** Implements TrafficThread. */
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
// The time in which a request on a connection that was accepted last has arrived.
constexpr kj::Duration settleTime = 100 * kj::MILLISECONDS;

// The largest message that a peer may send: a call's body with room for its headers.
constexpr std::uint64_t maximumMessageWords = std::uint64_t{16} * 1024 * 1024 / sizeof(capnp::word);

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maximumMessageWords;
    return options;
}

} // namespace

/** Everything that lives on the link thread. */
class TrafficThread::Loop : private CallSender, private kj::TaskSet::ErrorHandler
{
public:
    Loop(Dependencies &parts, kj::AsyncIoContext &io)
        : timer_(io.provider->getTimer())
        , counters_(parts.counters)
        , routing_(parts.routing)
        , links_(
                  io.provider->getNetwork(), timer_,
                  [this](const NetworkAddress &address) { return encodingFor(address); }, counters_)
        , gate_(serving::InboundProxy::Dependencies{
                  parts.self, parts.process, links_, io.provider->getNetwork(), timer_,
                  parts.dialect, parts.routing, std::move(parts.admission), parts.evidence,
                  parts.counters})
        , callers_(callers::CallerServer::Dependencies{
                  parts.routing, parts.dialect, *this, parts.routingPolicy, parts.retryPolicy,
                  gate_.runningCalls(), parts.service, parts.counters})
        , callerListener_(io.provider->getNetwork(), timer_, callers_)
        , server_(kj::heap<PeerServer>(parts.requests, gate_))
        , self_(parts.self)
        , parts_(parts.loopComponents)
        , tasks_(*this)
    {}

    ~Loop() noexcept override
    {
        for (LoopComponent *part : parts_)
            part->stop();
    }

    absl::Status start(const Dependencies &parts, kj::AsyncIoContext &io)
    {
        LoopContext context{io.provider->getNetwork(), timer_, io.waitScope};
        try {
            auto address = context.network.parseAddress(parts.listen.toString()).wait(io.waitScope);
            listener_ = address->listen();
        } catch (const kj::Exception &exception) {
            return absl::UnavailableError("cannot listen on " + parts.listen.toString() + ": "
                                          + exception.getDescription().cStr());
        }
        tasks_.add(acceptNext());
        for (LoopComponent *part : parts_) {
            if (const absl::Status status = part->start(context); !status.ok())
                return status;
        }
        return callerListener_.listen(parts.callers, io.waitScope);
    }

    // Runs a task to its end; its failure is an answer in itself and needs no report.
    void add(kj::Promise<void> task)
    {
        tasks_.add(task.catch_([](kj::Exception && /*exception*/) {}));
    }

    PeerLinks &links() { return links_; }
    serving::InboundProxy &gate() { return gate_; }
    callers::CallerServer &callers() { return callers_; }

    kj::Promise<bool> callersQuiet(kj::TimePoint limit)
    {
        if (callers_.isDrained() || timer_.now() >= limit)
            return callers_.isDrained();
        return timer_.afterDelay(drainCheckInterval.count() * kj::MILLISECONDS)
                .then([this, limit]() { return callersQuiet(limit); });
    }

    kj::Promise<bool> closeCallers(kj::TimePoint limit)
    {
        callerListener_.stopAccepting();
        return timer_.afterDelay(settleTime).then([this, limit]() { return callersQuiet(limit); });
    }

    void beginCallerDrain(std::chrono::milliseconds servingTime)
    {
        callers_.beginStop();
        add(timer_.afterDelay(servingTime.count() * kj::MILLISECONDS).then([this]() {
            callers_.refuseCalls();
        }));
    }

    kj::Promise<bool> drained(kj::TimePoint limit)
    {
        if (gate_.activeCalls() == 0 || timer_.now() >= limit)
            return gate_.activeCalls() == 0;
        return timer_.afterDelay(drainCheckInterval.count() * kj::MILLISECONDS)
                .then([this, limit]() { return drained(limit); });
    }

    kj::TimePoint after(std::chrono::milliseconds time)
    {
        return timer_.now() + time.count() * kj::MILLISECONDS;
    }

private:
    kj::Promise<CallResponse> send(const NodeId &node, const NetworkAddress &address,
                                   const CallRequest &request) override
    {
        auto answer = node == self_ ? gate_.serve(request) : links_.call(address, request);
        return answer.catch_([](kj::Exception &&exception) {
            return CallResponse::unknown(exception.getDescription().cStr());
        });
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
        tasks_.add(decodeAccepted(kj::mv(accepted), counters_)
                           .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
                               return serveFramed(kj::mv(stream));
                           }));
    }

    kj::Promise<void> serveFramed(kj::Own<kj::AsyncIoStream> stream)
    {
        auto network = kj::heap<capnp::TwoPartyVatNetwork>(
                *stream, capnp::rpc::twoparty::Side::SERVER, readerOptions());
        auto system = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
                capnp::makeRpcServer(*network, server_));
        auto closed = network->onDisconnect();
        // One attachment at a time: of several in one call, the last would be destroyed first.
        return closed.attach(kj::mv(system)).attach(kj::mv(network)).attach(kj::mv(stream));
    }

    // Bytes between data centres are dear; those within one are not worth the work.
    LinkEncoding encodingFor(const NetworkAddress &address) const
    {
        const auto snapshot = routing_.current();
        for (const auto &member : snapshot->registrars) {
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
    LinkCounters counters_;
    const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing_;
    PeerLinks links_;
    serving::InboundProxy gate_;
    callers::CallerServer callers_;
    http::ServerListener callerListener_;
    wire::schema::Peer::Client server_;
    kj::Own<kj::ConnectionReceiver> listener_;
    NodeId self_;
    std::vector<LoopComponent *> parts_;
    kj::TaskSet tasks_;
};

TrafficThread::TrafficThread(Dependencies parts)
    : parts_(std::move(parts))
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
    Loop loop(parts_, io);
    if (const absl::Status status = loop.start(parts_, io); !status.ok()) {
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
    taskQueue_.post([this, status]() { loop_->gate().setUpstream(status); });
}

void TrafficThread::beginCallerDrain(std::chrono::milliseconds servingTime)
{
    taskQueue_.post([this, servingTime]() { loop_->beginCallerDrain(servingTime); });
}

bool TrafficThread::awaitCallerDrain(std::chrono::milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<bool>>();
    auto quiet = promise->get_future();
    const bool isPosted = taskQueue_.post([this, timeout, promise]() {
        const kj::TimePoint limit = loop_->after(timeout);
        loop_->add(loop_->callersQuiet(limit)
                           .then([this, limit](bool /*isQuiet*/) {
                               return loop_->closeCallers(limit);
                           })
                           .then([promise](bool isQuiet) { promise->set_value(isQuiet); }));
    });
    return !isPosted || quiet.get();
}

bool TrafficThread::drain(std::chrono::milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<bool>>();
    auto drained = promise->get_future();
    const bool isPosted = taskQueue_.post([this, timeout, promise]() {
        loop_->gate().drain();
        loop_->add(loop_->drained(loop_->after(timeout)).then([promise](bool isDrained) {
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
                                   [this, peer](Exchange &&answer) {
                                       parts_.events.exchangeResponseReceived(peer,
                                                                              std::move(answer));
                                   },
                                   [this, peer](kj::Exception &&exception) {
                                       core::events::logEvent(
                                               core::events::EventCode::PeerUnreachable,
                                               "peer unreachable",
                                               {{"peer", peer.address.toString()},
                                                {"error", exception.getDescription().cStr()}});
                                       parts_.events.exchangeFailed(peer);
                                   }));
    });
}

void TrafficThread::pushIntent(const PeerContact &peer, const IntentTransfer &transfer)
{
    taskQueue_.post([this, peer, transfer]() {
        loop_->add(loop_->links()
                           .pushIntent(peer.address, parts_.self, transfer)
                           .then([this](Revision revision) {
                               parts_.events.pushResponseReceived(revision);
                           }));
    });
}

void TrafficThread::fetchIntent(const PeerContact &peer, Revision have)
{
    taskQueue_.post([this, peer, have]() {
        loop_->add(loop_->links()
                           .fetchIntent(peer.address, have)
                           .then([this, peer](IntentTransfer &&transfer) {
                               parts_.events.intentFetched(peer, std::move(transfer));
                           }));
    });
}

void TrafficThread::fetchMembers(const PeerContact &peer, const MemberTable::BucketHashes &hashes)
{
    taskQueue_.post([this, peer, hashes]() {
        loop_->add(loop_->links()
                           .fetchMembers(peer.address, hashes)
                           .then([this](std::vector<MemberRecord> &&records) {
                               parts_.events.membersFetched(std::move(records));
                           }));
    });
}

} // namespace boragetrack::transport::links
