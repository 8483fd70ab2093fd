/** Control requests: sends each one on the open link, and once more on a new link if that one is
    silent. */
#include "transport/links/PeerLinks.h"

#include "transport/timing/Deadline.h"
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
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::Revision;

namespace {

kj::Duration toKj(std::chrono::nanoseconds time)
{
    return time.count() * kj::NANOSECONDS;
}

} // namespace

template <typename Results, typename Request, typename Read>
kj::Promise<Results> PeerLinks::sendOnce(const NetworkAddress &peer, Request makeRequest, Read read,
                                         kj::TimePoint deadline)
{
    const kj::TimePoint startedAt = timer_.now();
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

template <typename Results, typename Request, typename Read>
kj::Promise<Results> PeerLinks::sendControl(const NetworkAddress &peer, Request makeRequest,
                                            Read read)
{
    const kj::TimePoint startedAt = timer_.now();
    const kj::TimePoint deadline = startedAt + toKj(controlTimeout);
    const bool wasOpen = hasOpenLink(peer);
    auto first = sendOnce<Results>(peer, makeRequest, read, deadline);
    // A link that is being opened has a time limit of its own.
    if (!wasOpen)
        return first;
    auto second = timer_.afterDelay(toKj(silenceTime))
                          .then([this, peer, makeRequest, read, startedAt,
                                 deadline]() -> kj::Promise<Results> {
                              if (!replaceIfSilent(peer, startedAt))
                                  return kj::NEVER_DONE;
                              return sendOnce<Results>(peer, makeRequest, read, deadline);
                          });
    return first.exclusiveJoin(kj::mv(second));
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

} // namespace boragetrack::transport::links
