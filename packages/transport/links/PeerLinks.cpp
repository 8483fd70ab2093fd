/** Opens links on demand, and drops those that failed, do not respond or are idle. */
#include "transport/links/PeerLinks.h"

#include "core/events/EventLog.h"
#include "transport/timing/Deadline.h"
#include "transport/wire/CallCodec.h"
#include "transport/wire/SizeHint.h"

namespace boragetrack::transport::links {

using core::identity::IdempotencyKey;
using core::identity::NetworkAddress;
using core::identity::NodeId;
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

bool PeerLinks::hasOpenLink(const NetworkAddress &peer) const
{
    const auto found = links_.find(peer.toString());
    return found != links_.end() && found->second->isOpen();
}

bool PeerLinks::replaceIfSilent(const NetworkAddress &peer, kj::TimePoint since)
{
    const auto found = links_.find(peer.toString());
    if (found == links_.end() || !found->second->isOpen() || found->second->lastResponse() >= since)
        return false;
    const auto link = kj::addRef(*found->second);
    giveUpIfSilent(peer, *link, since);
    return true;
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
