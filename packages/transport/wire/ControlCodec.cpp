/** Decodes unknown enum values as the last known one, and compresses the payloads of intents. */
#include "transport/wire/ControlCodec.h"

#include "core/hashing/StableHash.h"
#include "transport/wire/TextCompression.h"

#include <algorithm>

namespace boragetrack::transport::wire {

using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::membership::AnnouncementStamp;
using control::membership::MemberRecord;
using control::membership::MemberState;
using control::membership::MemberVersion;
using control::membership::Suspicion;
using control::membership::UpstreamState;
using control::moves::EvidenceEntry;
using control::moves::LatencyHistogram;
using control::moves::MoveVerdict;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::Revision;

namespace {

// An older contact is as good as none; sums of times can not overflow.
constexpr std::chrono::milliseconds maximumAge = std::chrono::hours(24);

std::optional<std::chrono::milliseconds> decodeAge(std::int64_t millis)
{
    if (millis < 0 || millis > maximumAge.count())
        return std::nullopt;
    return std::chrono::milliseconds(millis);
}

template <typename Enum>
Enum enumFrom(std::uint8_t number, Enum last)
{
    return static_cast<Enum>(std::min(number, static_cast<std::uint8_t>(last)));
}

void encodeAddress(const NetworkAddress &address, schema::Address::Builder message)
{
    message.setHost(address.host);
    message.setPort(address.port);
}

NetworkAddress decodeAddress(schema::Address::Reader message)
{
    return NetworkAddress{message.getHost(), message.getPort()};
}

void encodeAnnouncement(const AnnouncementStamp &stamp, schema::Announcement::Builder message)
{
    message.setInstance(stamp.instance);
    message.setSequence(stamp.sequence);
    if (stamp.startedAt)
        message.setStartedAtMillis(
                static_cast<std::uint64_t>(stamp.startedAt->time_since_epoch().count()));
}

std::optional<AnnouncementStamp> decodeAnnouncement(schema::Announcement::Reader message)
{
    if (message.getInstance().size() == 0)
        return std::nullopt;
    AnnouncementStamp stamp{message.getInstance(), message.getSequence(), std::nullopt};
    const auto startedAt = static_cast<std::int64_t>(message.getStartedAtMillis());
    if (startedAt > 0)
        stamp.startedAt = core::timing::WallTime(std::chrono::milliseconds(startedAt));
    return stamp;
}

void encodeMember(const MemberRecord &record, schema::Member::Builder message)
{
    message.setId(record.id.value());
    message.setDataCentre(record.dataCentre.value());
    encodeAddress(record.peerAddress, message.initPeerAddress());
    encodeAddress(record.operatorAddress, message.initOperatorAddress());
    message.setGeneration(record.version.generation);
    message.setSequence(record.version.sequence);
    message.setState(static_cast<std::uint8_t>(record.state));
    message.setService(record.upstream.service.value());
    message.setVersion(record.upstream.version.value());
    message.setUpstreamState(static_cast<std::uint8_t>(record.upstream.state));
    message.setSlots(static_cast<std::uint16_t>(record.upstream.slots));
    if (record.upstream.departure)
        encodeAnnouncement(*record.upstream.departure, message.initDeparture());
}

MemberRecord decodeMember(schema::Member::Reader message)
{
    MemberRecord record;
    record.id = NodeId(message.getId());
    record.dataCentre = core::identity::DataCentreId(message.getDataCentre());
    record.peerAddress = decodeAddress(message.getPeerAddress());
    record.operatorAddress = decodeAddress(message.getOperatorAddress());
    record.version = MemberVersion{message.getGeneration(), message.getSequence()};
    record.state = enumFrom(message.getState(), MemberState::Left);
    record.upstream.service = core::identity::ServiceName(message.getService());
    record.upstream.version = core::identity::VersionName(message.getVersion());
    record.upstream.state = enumFrom(message.getUpstreamState(), UpstreamState::Draining);
    record.upstream.slots = message.getSlots();
    if (message.hasDeparture())
        record.upstream.departure = decodeAnnouncement(message.getDeparture());
    return record;
}

void encodeEvidence(const EvidenceEntry &entry, schema::Evidence::Builder message)
{
    message.setMoveId(entry.key.moveId);
    message.setRoute(entry.key.route.value());
    message.setVersion(entry.key.version.value());
    message.setNode(entry.key.node.value());
    message.setGeneration(entry.key.generation);
    message.setCalls(entry.counts.calls);
    message.setFailures(entry.counts.failures);
    message.setBroken(entry.counts.broken);
    auto latencies = message.initLatencies(LatencyHistogram::bucketCount);
    for (unsigned int i = 0; i < LatencyHistogram::bucketCount; ++i)
        latencies.set(i, entry.counts.latencies.buckets()[i]);
}

EvidenceEntry decodeEvidence(schema::Evidence::Reader message)
{
    EvidenceEntry entry;
    entry.key.moveId = message.getMoveId();
    entry.key.route = core::identity::RouteName(message.getRoute());
    entry.key.version = core::identity::VersionName(message.getVersion());
    entry.key.node = NodeId(message.getNode());
    entry.key.generation = message.getGeneration();
    entry.counts.calls = message.getCalls();
    entry.counts.failures = message.getFailures();
    entry.counts.broken = message.getBroken();
    LatencyHistogram::Buckets buckets{};
    const auto latencies = message.getLatencies();
    for (unsigned int i = 0; i < std::min<std::size_t>(latencies.size(), buckets.size()); ++i)
        buckets[i] = latencies[i];
    entry.counts.latencies.setBuckets(buckets);
    return entry;
}

void encodeSuspicion(const Suspicion &suspicion, schema::Suspicion::Builder message)
{
    message.setSubject(suspicion.subject.value());
    message.setGeneration(suspicion.version.generation);
    message.setSequence(suspicion.version.sequence);
    message.setObserver(suspicion.observer.value());
}

// Encodes the elements of a vector into a list of the same size.
template <typename Element, typename ListBuilder, typename Encode>
void encodeList(const std::vector<Element> &elements, ListBuilder list, Encode encodeElement)
{
    for (unsigned int i = 0; i < list.size(); ++i)
        encodeElement(elements[i], list[i]);
}

template <typename Element>
unsigned int sizeOf(const std::vector<Element> &elements)
{
    return static_cast<unsigned int>(elements.size());
}

} // namespace

void encode(const Exchange &exchange, schema::Exchange::Builder message)
{
    message.setSender(exchange.sender.value());
    message.setRevision(exchange.revision.number());
    if (exchange.revisionAge)
        message.setRevisionMillis(exchange.revisionAge->count());
    message.setIntentNumber(exchange.intentNumber.number());
    message.setReceiverFloor(exchange.receiverMinimumRevision.number());
    if (exchange.receiverDeparture)
        encodeAnnouncement(*exchange.receiverDeparture, message.initReceiverDeparture());
    encodeAddress(exchange.senderAddress, message.initSenderAddress());
    message.setReceiverKnownSince(exchange.receiverKnownSince);
    message.setMemberDigest(exchange.memberDigest);
    message.setFollower(exchange.isFollower);
    message.setAsksForNews(exchange.requestsUpdates);
    message.setRequestsStoreRead(exchange.requestsStoreRead);
    if (exchange.storeContactAge)
        message.setStoreContactMillis(exchange.storeContactAge->count());
    encode(exchange.members, message.initMembers(sizeOf(exchange.members)));
    encodeList(exchange.suspicions, message.initSuspicions(sizeOf(exchange.suspicions)),
               encodeSuspicion);
    encodeList(exchange.verdicts, message.initVerdicts(sizeOf(exchange.verdicts)),
               [](const MoveVerdict &verdict, schema::Verdict::Builder entry) {
                   entry.setMoveId(verdict.moveId);
                   entry.setEvidence(verdict.evidence);
               });
    encodeList(exchange.evidence, message.initEvidence(sizeOf(exchange.evidence)), encodeEvidence);
}

Exchange decode(schema::Exchange::Reader message)
{
    Exchange exchange;
    exchange.sender = NodeId(message.getSender());
    exchange.revision = Revision(message.getRevision());
    exchange.receiverMinimumRevision = Revision(message.getReceiverFloor());
    if (message.hasReceiverDeparture())
        exchange.receiverDeparture = decodeAnnouncement(message.getReceiverDeparture());
    exchange.senderAddress = decodeAddress(message.getSenderAddress());
    exchange.receiverKnownSince = message.getReceiverKnownSince();
    exchange.memberDigest = message.getMemberDigest();
    exchange.isFollower = message.getFollower();
    exchange.requestsUpdates = message.getAsksForNews();
    exchange.requestsStoreRead = message.getRequestsStoreRead();
    exchange.revisionAge = decodeAge(message.getRevisionMillis());
    exchange.intentNumber = core::identity::IntentNumber(message.getIntentNumber());
    exchange.storeContactAge = decodeAge(message.getStoreContactMillis());
    exchange.members = decode(message.getMembers());
    for (const auto entry : message.getSuspicions()) {
        exchange.suspicions.push_back(
                Suspicion{NodeId(entry.getSubject()),
                          MemberVersion{entry.getGeneration(), entry.getSequence()},
                          NodeId(entry.getObserver())});
    }
    for (const auto entry : message.getVerdicts())
        exchange.verdicts.push_back(MoveVerdict{entry.getMoveId(), entry.getEvidence()});
    for (const auto entry : message.getEvidence())
        exchange.evidence.push_back(decodeEvidence(entry));
    return exchange;
}

void encode(const IntentTransfer &transfer, TextCompressor &compressor,
            schema::IntentTransfer::Builder message)
{
    message.setTarget(transfer.target.number());
    message.setBase(transfer.base.number());
    message.setTextHash(transfer.textHash);
    const std::string &compressed
            = compressor.compress(transfer.payload, core::hashing::stableHash(transfer.payload));
    message.setPacked(
            kj::arrayPtr(reinterpret_cast<const kj::byte *>(compressed.data()), compressed.size()));
}

IntentTransfer decode(schema::IntentTransfer::Reader message)
{
    IntentTransfer transfer{Revision(message.getTarget()), Revision(message.getBase()),
                            message.getTextHash(), message.getPayload()};
    const auto compressed = message.getPacked().asChars();
    // A payload that can not be decompressed becomes empty, which then fails the check of its hash.
    if (compressed.size() > 0)
        transfer.payload = decompressText({compressed.begin(), compressed.size()}).value_or("");
    return transfer;
}

void encode(const std::vector<MemberRecord> &records, capnp::List<schema::Member>::Builder list)
{
    encodeList(records, list, encodeMember);
}

std::vector<MemberRecord> decode(capnp::List<schema::Member>::Reader list)
{
    std::vector<MemberRecord> records;
    records.reserve(list.size());
    for (const auto entry : list)
        records.push_back(decodeMember(entry));
    return records;
}

} // namespace boragetrack::transport::wire
