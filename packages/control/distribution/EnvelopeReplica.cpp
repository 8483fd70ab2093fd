/** Implements EnvelopeReplica. */
#include "control/distribution/EnvelopeReplica.h"

#include "control/intent/IntentParser.h"
#include "core/hashing/StableHash.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::Revision;
using nlohmann::json;

namespace {

// A peer that lags further behind gets the whole envelope.
constexpr std::size_t maximumVersions = 4;

} // namespace

OfferResult EnvelopeReplica::offer(const std::string &text)
{
    const auto envelope = intent::IntentEnvelope::fromText(text);
    if (!envelope)
        return refuse(Revision{}, "not an intent envelope");
    if (envelope->revision <= revision())
        return OfferResult::NotNewer;
    core::findings::FindingList findings("intent revision "
                                         + std::to_string(envelope->revision.number()));
    auto document = intent::readIntent(envelope->document, findings);
    if (!document)
        return refuse(envelope->revision, findings.toString());
    document_ = std::move(*document);
    change_ = envelope->change;
    versions_.push_back(Version{envelope->revision, json::parse(text), envelope->toText()});
    if (versions_.size() > maximumVersions)
        versions_.pop_front();
    return OfferResult::Accepted;
}

Revision EnvelopeReplica::revision() const
{
    return versions_.empty() ? Revision{} : versions_.back().revision;
}

IntentTransfer EnvelopeReplica::transferSince(Revision have) const
{
    if (versions_.empty())
        return IntentTransfer{};
    const Version &held = versions_.back();
    IntentTransfer transfer{held.revision, Revision{}, core::hashing::stableHash(held.text),
                            held.text};
    const auto base = std::find_if(versions_.begin(), versions_.end(), [&](const Version &version) {
        return version.revision == have;
    });
    if (base == versions_.end())
        return transfer;
    std::string patch = json::diff(base->json, held.json).dump();
    if (patch.size() < transfer.payload.size()) {
        transfer.base = have;
        transfer.payload = std::move(patch);
    }
    return transfer;
}

std::optional<std::string> EnvelopeReplica::unpack(const IntentTransfer &transfer) const
{
    std::string text = transfer.payload;
    if (transfer.base != Revision{}) {
        if (versions_.empty() || versions_.back().revision != transfer.base)
            return std::nullopt;
        try {
            text = versions_.back().json.patch(json::parse(transfer.payload)).dump();
        } catch (const json::exception &) {
            return std::nullopt;
        }
    }
    if (core::hashing::stableHash(text) != transfer.textHash)
        return std::nullopt;
    return text;
}

OfferResult EnvelopeReplica::refuse(Revision revision, std::string findings)
{
    refusedRevision_ = std::max(refusedRevision_, revision);
    refusal_ = std::move(findings);
    return OfferResult::Refused;
}

} // namespace boragetrack::control::distribution
