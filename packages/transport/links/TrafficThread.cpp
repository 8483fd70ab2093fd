/** Posts each operation to the event loop as a task. Everything that uses the loop belongs to
    TrafficLoop, which is created and destroyed on the thread. */
#include "transport/links/TrafficThread.h"

#include "core/events/AgeText.h"
#include "core/events/EventLog.h"
#include "transport/links/TrafficLoop.h"

#include <kj/async-io.h>

namespace boragetrack::transport::links {

using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::distribution::PeerContact;
using control::membership::MemberRecord;
using control::membership::MemberTable;
using core::identity::Revision;

namespace {

// Dates what the peer knew back to the time of the request: the response, or this process, may have
// been held up for any part of the time since then.
void addAge(Exchange &response, core::timing::MonotonicTime sentAt)
{
    const core::timing::MonotonicTime now = std::chrono::steady_clock::now();
    response.arrivedAt = now;
    response.roundTrip = std::chrono::ceil<std::chrono::milliseconds>(now - sentAt);
    if (response.storeContactAge)
        *response.storeContactAge += response.roundTrip;
}

} // namespace

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
    TrafficLoop loop(dependencies_, io);
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

bool TrafficThread::closeLinks(std::chrono::milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<bool>>();
    auto closed = promise->get_future();
    const bool isPosted = taskQueue_.post([this, timeout, promise]() {
        loop_->add(loop_->closeLinks(loop_->after(timeout)).then([promise](bool areClosed) {
            promise->set_value(areClosed);
        }));
    });
    return !isPosted || closed.get();
}

//==============================================================================
void TrafficThread::sendExchange(const PeerContact &peer, const Exchange &exchange)
{
    taskQueue_.post([this, peer, exchange, sentAt = std::chrono::steady_clock::now()]() {
        loop_->add(loop_->links()
                           .exchange(peer.address, exchange)
                           .then(
                                   [this, peer, sentAt](Exchange &&response) {
                                       addAge(response, sentAt);
                                       dependencies_.eventSink.exchangeResponseReceived(
                                               peer, std::move(response));
                                   },
                                   [this, peer](kj::Exception &&exception) {
                                       logUnreachable(peer, exception);
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
                           .then(
                                   [this, peer](IntentTransfer &&transfer) {
                                       dependencies_.eventSink.intentFetched(peer,
                                                                             std::move(transfer));
                                   },
                                   [this, peer](kj::Exception &&exception) {
                                       logFailedFetch("intent", peer, exception);
                                   }));
    });
}

void TrafficThread::fetchMembers(const PeerContact &peer, const MemberTable::BucketHashes &hashes)
{
    taskQueue_.post([this, peer, hashes]() {
        loop_->add(loop_->links()
                           .fetchMembers(peer.address, hashes)
                           .then(
                                   [this](std::vector<MemberRecord> &&records) {
                                       dependencies_.eventSink.membersFetched(std::move(records));
                                   },
                                   [this, peer](kj::Exception &&exception) {
                                       logFailedFetch("members", peer, exception);
                                   }));
    });
}

// Counts without a response are sent again with the next ones. A peer of an earlier release rejects
// the request as not implemented.
void TrafficThread::sendUsage(const core::identity::NetworkAddress &peer,
                              const control::usage::UsageSnapshot &snapshot,
                              control::usage::UsageTransport::Callback callback)
{
    taskQueue_.post([this, peer, snapshot, callback = std::move(callback)]() {
        loop_->add(loop_->links()
                           .reportUsage(peer, snapshot)
                           .then([this, callback](control::usage::UsageWindow reportedThrough) {
                               dependencies_.eventSink.usageResponseReceived(callback,
                                                                             reportedThrough);
                           }));
    });
}

void TrafficThread::logUnreachable(const PeerContact &peer, const kj::Exception &exception)
{
    const auto routing = dependencies_.routing.current();
    const auto age = routing->intentAge(std::chrono::steady_clock::now());
    core::events::logEvent(
            core::events::EventCode::PeerUnreachable, "peer unreachable",
            {{"peer", peer.address.toString()},
             {"error", exception.getDescription().cStr()},
             {"intentNumber", std::to_string(routing->intent->document().number.number())},
             {"intentMs", core::events::ageText(age)}});
}

void TrafficThread::logFailedFetch(const char *what, const PeerContact &peer,
                                   const kj::Exception &exception)
{
    dependencies_.counters.counter("control_fetches_failed").add();
    core::events::logEvent(core::events::EventCode::FetchFailed, "fetch from a peer failed",
                           {{"what", what},
                            {"peer", peer.address.toString()},
                            {"error", exception.getDescription().cStr()}});
}

} // namespace boragetrack::transport::links
