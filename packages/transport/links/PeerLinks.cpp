/** Opens links on demand, and drops those that failed, do not respond or are idle. */
#include "transport/links/PeerLinks.h"

#include "core/events/EventLog.h"
#include "transport/timing/Deadline.h"
#include "transport/wire/CallCodec.h"
#include "transport/wire/ControlCodec.h"
#include "transport/wire/SizeHint.h"
#include "transport/wire/UsageCodec.h"

namespace boragetrack::transport::links {

using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::membership::MemberRecord;
using control::membership::MemberTable;
using control::usage::UsageSnapshot;
using control::usage::UsageWindow;
using core::identity::IdempotencyKey;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::Revision;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

// Added to a call's time budget, so that a response sent at the end of the budget still arrives.
constexpr std::chrono::milliseconds responseMargin{20};

using CallResults = kj::Promise<capnp::Response<wire::schema::Peer::CallResults>>;

kj::Duration toKj(std::chrono::nanoseconds time)
{
    return time.count() * kj::NANOSECONDS;
}

} // namespace

PeerLinks::PeerLinks(kj::Network &network, timing::PreciseTimer &timer,
                     EncodingSelector encodingFor, LinkCounters counters,
                     DisconnectHandler whenDisconnected)
    : network_(network)
    , timer_(timer)
    , encodingFor_(std::move(encodingFor))
    , counters_(counters)
    , whenDisconnected_(std::move(whenDisconnected))
    , tasks_(*this)
{
    tasks_.add(closeIdleLinks());
}

PeerLinks::~PeerLinks() noexcept(false) = default;

//==============================================================================
kj::Promise<CallResponse> PeerLinks::call(const NetworkAddress &peer, const CallRequest &request)
{
    const kj::TimePoint deadline = timer_.now() + toKj(request.budget + responseMargin);
    auto message = std::make_shared<CallRequest>(request);
    const kj::TimePoint startedAt = timer_.now();
    // Nothing is sent before the link is ready, so a failure until then means that the call did not
    // run.
    return timing::resultBefore(timer_, deadline, connect(peer))
            .then(
                    [this, message, deadline, startedAt, peer](kj::Own<PeerLink> &&link) {
                        message->deductTime((timer_.now() - startedAt) / kj::NANOSECONDS
                                            * std::chrono::nanoseconds(1));
                        PeerLink &used = *link;
                        auto call = used.peer().callRequest(
                                wire::sizeHint(message->body.size() + message->target.size()));
                        wire::encode(*message, call.initRequest());
                        return timing::resultBefore(timer_, deadline, CallResults(call.send()))
                                .then(
                                        [this, &used](auto &&response) {
                                            used.recordResponse(timer_.now());
                                            return wire::decode(response.getAnswer());
                                        },
                                        [this, peer, startedAt, &used](kj::Exception &&exception) {
                                            handleFailedCall(peer, used, startedAt, exception);
                                            return CallResponse::unknown(
                                                    exception.getDescription().cStr());
                                        })
                                .attach(kj::mv(link));
                    },
                    [](kj::Exception &&exception) {
                        return CallResponse::notRun(exception.getDescription().cStr());
                    });
}

kj::Promise<NodeId> PeerLinks::claim(const NetworkAddress &peer, const IdempotencyKey &key,
                                     const NodeId &claimant)
{
    return timing::resultWithin(
            timer_, toKj(connectTimeout), connect(peer).then([=](kj::Own<PeerLink> &&link) {
                auto request = link->peer().claimRequest();
                request.setKey(key.value());
                request.setClaimant(claimant.value());
                return request.send()
                        .then([](auto &&response) { return NodeId(response.getHolder()); })
                        .attach(kj::mv(link));
            }));
}

kj::Promise<void> PeerLinks::release(const NetworkAddress &peer, const IdempotencyKey &key,
                                     const NodeId &claimant)
{
    return timing::resultWithin(timer_, toKj(connectTimeout),
                                connect(peer).then([=](kj::Own<PeerLink> &&link) {
                                    auto request = link->peer().releaseRequest();
                                    request.setKey(key.value());
                                    request.setClaimant(claimant.value());
                                    return request.send().ignoreResult().attach(kj::mv(link));
                                }));
}

//==============================================================================
template <typename Results, typename Request, typename Read>
auto PeerLinks::sendControl(const NetworkAddress &peer, Request makeRequest, Read read)
{
    const kj::TimePoint startedAt = timer_.now();
    const kj::TimePoint deadline = startedAt + toKj(controlTimeout);
    return timing::resultBefore(timer_, deadline, connect(peer))
            .then([this, peer, makeRequest, read, startedAt,
                   deadline](kj::Own<PeerLink> &&link) mutable {
                PeerLink &used = *link;
                wire::schema::Peer::Client client = used.peer();
                auto request = makeRequest(client);
                counters_.controlMessagesSent.add();
                counters_.controlBytesSent.add(request.asReader().totalSize().wordCount
                                               * sizeof(capnp::word));
                auto answer = request.send().then([this, read, &used](auto &&response) mutable {
                    used.recordResponse(timer_.now());
                    counters_.controlBytesReceived.add(response.totalSize().wordCount
                                                       * sizeof(capnp::word));
                    return read(response);
                });
                using Answer = decltype(answer);
                return timing::resultBefore(timer_, deadline, kj::mv(answer))
                        .catch_([this, peer, startedAt,
                                 &used](kj::Exception &&exception) -> Answer {
                            if (exception.getType() == kj::Exception::Type::OVERLOADED)
                                giveUpIfSilent(peer, used, startedAt);
                            return kj::mv(exception);
                        })
                        .attach(kj::mv(link));
            });
}

kj::Promise<Exchange> PeerLinks::exchange(const NetworkAddress &peer, const Exchange &request)
{
    return sendControl<Exchange>(
            peer,
            [request](wire::schema::Peer::Client &client) {
                auto message = client.exchangeRequest(wire::sizeHint(request));
                wire::encode(request, message.initRequest());
                return message;
            },
            [](auto &response) { return wire::decode(response.getAnswer()); });
}

kj::Promise<Revision> PeerLinks::pushIntent(const NetworkAddress &peer, const NodeId &sender,
                                            const IntentTransfer &transfer)
{
    return sendControl<Revision>(
            peer,
            [this, sender, transfer](wire::schema::Peer::Client &client) {
                auto message = client.pushIntentRequest();
                message.setSender(sender.value());
                wire::encode(transfer, compressor_, message.initTransfer());
                return message;
            },
            [](auto &response) { return Revision(response.getRevision()); });
}

kj::Promise<IntentTransfer> PeerLinks::fetchIntent(const NetworkAddress &peer, Revision have)
{
    return sendControl<IntentTransfer>(
            peer,
            [have](wire::schema::Peer::Client &client) {
                auto message = client.fetchIntentRequest();
                message.setHave(have.number());
                return message;
            },
            [](auto &response) { return wire::decode(response.getTransfer()); });
}

kj::Promise<std::vector<MemberRecord>>
PeerLinks::fetchMembers(const NetworkAddress &peer, const MemberTable::BucketHashes &hashes)
{
    return sendControl<std::vector<MemberRecord>>(
            peer,
            [hashes](wire::schema::Peer::Client &client) {
                auto message = client.fetchMembersRequest();
                auto list = message.initHashes(static_cast<unsigned int>(hashes.size()));
                for (unsigned int i = 0; i < hashes.size(); ++i)
                    list.set(i, hashes[i]);
                return message;
            },
            [](auto &response) { return wire::decode(response.getMembers()); });
}

kj::Promise<UsageWindow> PeerLinks::reportUsage(const NetworkAddress &peer,
                                                const UsageSnapshot &snapshot)
{
    return sendControl<UsageWindow>(
            peer,
            [snapshot](wire::schema::Peer::Client &client) {
                auto message = client.reportUsageRequest();
                wire::encode(snapshot, message.initSnapshot());
                return message;
            },
            [](auto &response) { return UsageWindow(response.getReportedThrough()); });
}

//==============================================================================
kj::Promise<kj::Own<PeerLink>> PeerLinks::connect(const NetworkAddress &peer)
{
    const std::string address = peer.toString();
    auto found = links_.find(address);
    if (found == links_.end()) {
        counters_.linksOpened.add();
        // The link is removed in a later turn of the event loop, since this destroys the promise
        // that reports its end.
        const auto whenEnded = [this, peer](const PeerLink *link) {
            tasks_.add(kj::evalLater([this, peer, link, wasOpen = link->isOpen()]() {
                endLink(peer, link, wasOpen);
            }));
        };
        found = links_.emplace(address, kj::refcounted<PeerLink>(open(peer), timer_, whenEnded))
                        .first;
    }
    PeerLink &link = *found->second;
    link.recordUse(timer_.now());
    return link.whenReady().then(
            [reference = kj::addRef(link)]() mutable { return kj::mv(reference); });
}

kj::Promise<kj::Own<kj::AsyncIoStream>> PeerLinks::open(const NetworkAddress &address)
{
    const LinkEncoding encoding = encodingFor_(address);
    auto connecting = network_.parseAddress(address.toString())
                              .then([](kj::Own<kj::NetworkAddress> &&parsed) {
                                  auto promise = parsed->connect();
                                  return promise.attach(kj::mv(parsed));
                              })
                              .then([this, encoding](kj::Own<kj::AsyncIoStream> &&stream) {
                                  return negotiateOpened(kj::mv(stream), encoding, counters_);
                              });
    return timing::resultWithin(timer_, toKj(connectTimeout), kj::mv(connecting));
}

void PeerLinks::handleFailedCall(const NetworkAddress &peer, const PeerLink &link,
                                 kj::TimePoint since, const kj::Exception &exception)
{
    if (exception.getType() == kj::Exception::Type::DISCONNECTED)
        endLink(peer, &link, link.isOpen());
    else
        giveUpIfSilent(peer, link, since);
}

// A link may stop responding without failing while a new one to the same peer would work. Requests
// in progress on the link keep it alive until they end.
void PeerLinks::giveUpIfSilent(const NetworkAddress &peer, const PeerLink &link,
                               kj::TimePoint since)
{
    if (link.lastResponse() >= since || !dropLink(peer.toString(), &link))
        return;
    counters_.linksGivenUp.add();
    core::events::logCall(core::events::EventCode::LinkGivenUp, "link given up", false,
                          {{"peer", peer.toString()},
                           {"callMs", std::to_string((timer_.now() - since) / kj::MILLISECONDS)}});
}

void PeerLinks::endLink(const NetworkAddress &peer, const PeerLink *link, bool wasOpen)
{
    if (dropLink(peer.toString(), link) && wasOpen && whenDisconnected_)
        whenDisconnected_(peer);
}

bool PeerLinks::dropLink(const std::string &address, const PeerLink *link)
{
    const auto found = links_.find(address);
    if (found == links_.end() || found->second.get() != link)
        return false;
    links_.erase(found);
    return true;
}

kj::Promise<void> PeerLinks::closeIdleLinks()
{
    return timer_.afterDelay(toKj(idleTimeout)).then([this]() {
        const kj::TimePoint oldest = timer_.now() - toKj(idleTimeout);
        std::erase_if(links_, [&](const auto &entry) { return entry.second->lastUse() < oldest; });
        return closeIdleLinks();
    });
}

void PeerLinks::taskFailed(kj::Exception && /*exception*/) {}

} // namespace boragetrack::transport::links
