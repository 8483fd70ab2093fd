/** Implements RecordIntent. */
#include "control/distribution/RecordIntent.h"

#include "core/findings/JsonDocument.h"
#include "core/hashing/StableHash.h"

#include <algorithm>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace boragetrack::control::distribution {

using core::findings::JsonDocument;
using core::findings::JsonValue;
using core::findings::TextEncoding;
using core::identity::Revision;
using records::OperatorRecord;

namespace {

// A removed entry has no text.
void writeRecord(const OperatorRecord &record, rapidjson::Writer<rapidjson::StringBuffer> &writer)
{
    writer.StartObject();
    writer.Key("key");
    writer.String(record.key.data(), static_cast<rapidjson::SizeType>(record.key.size()));
    writer.Key("revision");
    writer.Uint64(record.revision.number());
    if (!record.isRemoved) {
        writer.Key("text");
        writer.String(record.text.data(), static_cast<rapidjson::SizeType>(record.text.size()));
    }
    writer.EndObject();
}

std::optional<OperatorRecord> readRecord(const JsonValue &entry)
{
    const bool isRecord = entry.IsObject() && entry.HasMember("key") && entry["key"].IsString()
                          && entry.HasMember("revision") && entry["revision"].IsUint64();
    if (!isRecord)
        return std::nullopt;
    OperatorRecord record{
            entry["key"].GetString(), Revision(entry["revision"].GetUint64()), {}, true};
    if (entry.HasMember("text") && entry["text"].IsString()) {
        record.text.assign(entry["text"].GetString(), entry["text"].GetStringLength());
        record.isRemoved = false;
    }
    return record;
}

} // namespace

OfferResult RecordIntent::takeListing(const std::vector<OperatorRecord> &listed, Revision revision)
{
    const Revision before = this->revision();
    std::vector<OperatorRecord> concerned;
    std::copy_if(listed.begin(), listed.end(), std::back_inserter(concerned),
                 [&](const auto &record) { return reader_->concernsIntent(record.key); });
    const bool hasNews = table_.mergeListing({}, concerned, revision);
    return readAgain(hasNews, before);
}

OfferResult RecordIntent::takeChanges(const records::RecordChanges &changes)
{
    const Revision before = revision();
    const bool hasNews = merge(changes.changes);
    table_.completeThrough(changes.revision);
    return readAgain(hasNews, before);
}

OfferResult RecordIntent::offer(const std::string &text)
{
    const JsonDocument root = core::findings::parseJsonDocument(text, TextEncoding::Unchecked);
    const bool isTransfer = root.IsObject() && root.HasMember("records")
                            && root["records"].IsArray() && root.HasMember("through")
                            && root["through"].IsUint64();
    if (!isTransfer)
        return OfferResult::Refused;
    const Revision before = revision();
    std::vector<OperatorRecord> changes;
    for (const JsonValue &entry : root["records"].GetArray()) {
        auto record = readRecord(entry);
        if (!record)
            return OfferResult::Refused;
        changes.push_back(std::move(*record));
    }
    const bool hasNews = merge(changes);
    table_.completeThrough(Revision(root["through"].GetUint64()));
    return readAgain(hasNews, before);
}

bool RecordIntent::merge(const std::vector<OperatorRecord> &changes)
{
    bool hasNews = false;
    for (const OperatorRecord &record : changes) {
        if (reader_->concernsIntent(record.key))
            hasNews = table_.merge(record) || hasNews;
    }
    return hasNews;
}

OfferResult RecordIntent::readAgain(bool hasNews, Revision before)
{
    if (!hasNews)
        return revision() > before ? OfferResult::Confirmed : OfferResult::NotNewer;
    core::findings::FindingList findings("entries at revision "
                                         + std::to_string(revision().number()));
    transfer_ = IntentTransfer{};
    document_ = reader_->read(table_, findings);
    if (findings.isEmpty())
        return OfferResult::Held;
    refusedRevision_ = table_.revision();
    refusal_ = findings.toString();
    return OfferResult::HeldInPart;
}

Revision RecordIntent::revision() const
{
    return reader_->isComplete(table_) ? table_.revision() : Revision{};
}

IntentTransfer RecordIntent::transferSince(Revision have) const
{
    if (!transfer_.payload.empty() && transfer_.target == revision() && transfer_.base == have)
        return transfer_;
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer(text);
    writer.StartObject();
    writer.Key("through");
    writer.Uint64(table_.revision().number());
    writer.Key("records");
    writer.StartArray();
    for (const OperatorRecord &record : table_.changesSince(have))
        writeRecord(record, writer);
    writer.EndArray();
    writer.EndObject();
    IntentTransfer transfer{revision(), have, 0, std::string(text.GetString(), text.GetSize())};
    transfer.textHash = core::hashing::stableHash(transfer.payload);
    transfer_ = transfer;
    return transfer;
}

std::optional<std::string> RecordIntent::unpack(const IntentTransfer &transfer) const
{
    // Entries that the sender took for known here must be known.
    if (transfer.base > table_.revision()
        || core::hashing::stableHash(transfer.payload) != transfer.textHash)
        return std::nullopt;
    return transfer.payload;
}

} // namespace boragetrack::control::distribution
