/** Accepts callers and peers, sends calls to the local upstream or over links, and waits for calls
   in progress during a planned stop. */
#include "transport/links/TrafficLoop.h"

#include "core/events/EventLog.h"

namespace boragetrack::transport::links {

using core::identity::NetworkAddress;
using core::identity::NodeId;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

constexpr std::chrono::milliseconds drainCheckInterval{20};
// Time allowed for requests to arrive on the connections that were accepted last.
constexpr kj::Duration lastRequestTime = 100 * kj::MILLISECONDS;

} // namespace

TrafficLoop::TrafficLoop(TrafficDependencies &dependencies, kj::AsyncIoContext &io)
    : timer_(io.provider->getTimer())
    , monitor_(dependencies.counters, std::chrono::steady_clock::now())
    , counters_(dependencies.counters)
    , eventSink_(dependencies.eventSink)
    , routing_(dependencies.routing)
    , memory_(dependencies.memoryBytes ? http::MemoryBudget::maximumFor(*dependencies.memoryBytes)
                                       : http::MemoryBudget::unlimited,
              dependencies.counters)
    , links_(
              io.provider->getNetwork(), timer_,
              [this](const NetworkAddress &address) { return encodingFor(address); }, counters_,
              [&sink = dependencies.eventSink](const NetworkAddress &peer) {
                  sink.peerDisconnected(peer);
              })
    , inbound_(serving::InboundProxy::Dependencies{
              dependencies.self, dependencies.processId, links_, io.provider->getNetwork(), timer_,
              dependencies.dialect, dependencies.routing, std::move(dependencies.admission),
              dependencies.evidenceSink, monitor_.pauses(), dependencies.counters,
              dependencies.usageMeter, std::move(dependencies.queueOrder), &memory_})
    , callers_(callers::CallerServer::Dependencies{
              dependencies.routing, dependencies.dialect, *this, dependencies.routingPolicy,
              dependencies.retryPolicy, inbound_.runningCalls(), dependencies.service,
              monitor_.pauses(), dependencies.keyFreshness, dependencies.storeContact,
              dependencies.counters})
    , pipelineCounters_(dependencies.counters)
    , callerListener_(io.provider->getNetwork(), timer_, callers_, &pipelineCounters_, &memory_)
    , linkListener_(io.provider->getNetwork(), timer_, dependencies.requestHandler, inbound_,
                    counters_, &memory_)
    , self_(dependencies.self)
    , components_(dependencies.loopComponents)
    , tasks_(*this)
{}

TrafficLoop::~TrafficLoop() noexcept
{
    callers_.handleLoopEnd();
    for (LoopComponent *component : components_)
        component->stop();
}

absl::Status TrafficLoop::start(const TrafficDependencies &dependencies, kj::AsyncIoContext &io)
{
    LoopContext context{io.provider->getNetwork(), timer_, io.waitScope};
    if (const absl::Status status = linkListener_.listen(dependencies.peerAddress, io.waitScope);
        !status.ok())
        return status;
    tasks_.add(recordTicks());
    for (LoopComponent *component : components_) {
        if (const absl::Status status = component->start(context); !status.ok())
            return status;
    }
    return callerListener_.listen(dependencies.callerAddress, io.waitScope);
}

void TrafficLoop::add(kj::Promise<void> task)
{
    tasks_.add(task.catch_([](kj::Exception && /*exception*/) {}));
}

kj::Promise<bool> TrafficLoop::whenCallersDrained(kj::TimePoint limit)
{
    if (callers_.isDrained() || timer_.now() >= limit)
        return callers_.isDrained();
    return timer_.afterDelay(drainCheckInterval.count() * kj::MILLISECONDS).then([this, limit]() {
        return whenCallersDrained(limit);
    });
}

kj::Promise<bool> TrafficLoop::stopAcceptingCallers(kj::TimePoint limit)
{
    callerListener_.stopAccepting();
    return timer_.afterDelay(lastRequestTime).then([this, limit]() {
        return whenLastRequestsAnswered(limit);
    });
}

kj::Promise<bool> TrafficLoop::whenLastRequestsAnswered(kj::TimePoint limit)
{
    const bool isOver = callers_.isDrained() && callerListener_.partialRequests() == 0;
    if (isOver || timer_.now() >= limit)
        return isOver;
    return timer_.afterDelay(drainCheckInterval.count() * kj::MILLISECONDS).then([this, limit]() {
        return whenLastRequestsAnswered(limit);
    });
}

void TrafficLoop::beginCallerDrain(std::chrono::milliseconds gracePeriod)
{
    callers_.beginDrain();
    add(timer_.afterDelay(gracePeriod.count() * kj::MILLISECONDS).then([this]() {
        callers_.refuseCalls();
    }));
}

kj::Promise<bool> TrafficLoop::whenDrained(kj::TimePoint limit)
{
    if (inbound_.activeCalls() == 0 || timer_.now() >= limit)
        return inbound_.activeCalls() == 0;
    return timer_.afterDelay(drainCheckInterval.count() * kj::MILLISECONDS).then([this, limit]() {
        return whenDrained(limit);
    });
}

kj::Promise<bool> TrafficLoop::closeLinks(kj::TimePoint limit)
{
    return linkListener_.closeLinks(limit);
}

kj::TimePoint TrafficLoop::after(std::chrono::milliseconds time)
{
    return timer_.now() + time.count() * kj::MILLISECONDS;
}

kj::Promise<CallResponse> TrafficLoop::send(const NodeId &node, const NetworkAddress &address,
                                            const CallRequest &request)
{
    auto response = node == self_ ? inbound_.serve(request) : links_.call(address, request);
    return response
            .catch_([](kj::Exception &&exception) {
                return CallResponse::unknown(exception.getDescription().cStr());
            })
            .then([this, node, address](CallResponse &&received) {
                compareIntents(node, address, received);
                return kj::mv(received);
            });
}

// Responses to calls come at any time, also while nothing else tells this node of a change.
void TrafficLoop::compareIntents(const NodeId &node, const NetworkAddress &address,
                                 const CallResponse &response)
{
    if (response.intentRevision <= seenIntent_)
        return;
    seenIntent_ = response.intentRevision;
    if (seenIntent_ > routing_.current()->intent->revision())
        eventSink_.laterIntentSeen(control::distribution::PeerContact{node, address}, seenIntent_);
}

kj::Promise<void> TrafficLoop::recordTicks()
{
    monitor_.recordTick(std::chrono::steady_clock::now());
    return timer_.afterDelay(core::timing::PauseDetector::tickPeriod.count() * kj::MILLISECONDS)
            .then([this]() { return recordTicks(); });
}

// Bandwidth between data centres is expensive; within one, compression is not worth its CPU
// time.
LinkEncoding TrafficLoop::encodingFor(const NetworkAddress &address) const
{
    const auto snapshot = routing_.current();
    for (const auto &member : snapshot->members->registrars) {
        if (member.address == address && member.dataCentre == snapshot->dataCentre)
            return LinkEncoding::Plain;
    }
    return LinkEncoding::Compressed;
}

void TrafficLoop::taskFailed(kj::Exception &&exception)
{
    core::events::logEvent(core::events::EventCode::InternalFault, "task of the event loop failed",
                           {{"error", exception.getDescription().cStr()}});
}

} // namespace boragetrack::transport::links
