/** Encodes the records changed since a revision as JSON for peers, and rebuilds the document after
    each merge. */
#include "control/distribution/RecordReplica.h"

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
using records::StoreRecord;

namespace {

// Members of a transfer: the records of the table, and those in use in their place.
constexpr const char *recordsName = "records";
constexpr const char *retainedName = "retained";

// A removed record is written without a text.
void writeRecord(const StoreRecord &record, rapidjson::Writer<rapidjson::StringBuffer> &writer)
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

std::optional<StoreRecord> readRecord(const JsonValue &entry)
{
    const bool isRecord = entry.IsObject() && entry.HasMember("key") && entry["key"].IsString()
                          && entry.HasMember("revision") && entry["revision"].IsUint64();
    if (!isRecord)
        return std::nullopt;
    StoreRecord record{entry["key"].GetString(), Revision(entry["revision"].GetUint64()), {}, true};
    if (entry.HasMember("text") && entry["text"].IsString()) {
        record.text.assign(entry["text"].GetString(), entry["text"].GetStringLength());
        record.isRemoved = false;
    }
    return record;
}

void writeRecords(const char *name, const std::vector<StoreRecord> &records,
                  rapidjson::Writer<rapidjson::StringBuffer> &writer)
{
    writer.Key(name);
    writer.StartArray();
    for (const StoreRecord &record : records)
        writeRecord(record, writer);
    writer.EndArray();
}

// Returns nothing if an entry is no record; no records without a list of that name.
std::optional<std::vector<StoreRecord>> readRecords(const JsonDocument &transfer, const char *name)
{
    std::vector<StoreRecord> records;
    if (!transfer.HasMember(name) || !transfer[name].IsArray())
        return records;
    for (const JsonValue &entry : transfer[name].GetArray()) {
        auto record = readRecord(entry);
        if (!record)
            return std::nullopt;
        records.push_back(std::move(*record));
    }
    return records;
}

// Returns whether a transfer contains all records that existed at its revision.
bool isWhole(const JsonDocument &transfer)
{
    return transfer.HasMember("whole") && transfer["whole"].IsBool() && transfer["whole"].GetBool();
}

} // namespace

OfferResult RecordReplica::applyListing(const std::vector<StoreRecord> &listed, Revision revision)
{
    const Revision before = this->revision();
    std::vector<StoreRecord> kept;
    std::copy_if(listed.begin(), listed.end(), std::back_inserter(kept),
                 [&](const auto &record) { return isKept(record); });
    bool hasChanges = table_.mergeListing({}, kept, revision);
    // The table takes no record below its revision, which may be from before the store came back.
    for (const StoreRecord &record : kept)
        hasChanges = reader_->adopt(record) || hasChanges;
    return update(hasChanges ? Change::Intent : Change::None, before);
}

OfferResult RecordReplica::applyChanges(const records::RecordChanges &changes)
{
    const Revision before = revision();
    const Change change = merge(changes.changes);
    table_.completeThrough(changes.revision);
    return update(change, before);
}

OfferResult RecordReplica::offer(const std::string &text)
{
    const JsonDocument root = core::findings::parseJsonDocument(text, TextEncoding::Unchecked);
    const bool isTransferText = root.IsObject() && root.HasMember(recordsName)
                                && root[recordsName].IsArray() && root.HasMember("through")
                                && root["through"].IsUint64();
    if (!isTransferText)
        return OfferResult::Refused;
    auto changes = readRecords(root, recordsName);
    const auto retained = readRecords(root, retainedName);
    if (!changes || !retained)
        return OfferResult::Refused;
    std::erase_if(*changes, [&](const auto &record) { return !isKept(record); });
    const Revision before = revision();
    const Revision through(root["through"].GetUint64());
    Change change = mergeFromPeer(*changes, *retained);
    if (isWhole(root) && table_.mergeListing({}, *changes, through))
        change = Change::Intent;
    table_.completeThrough(through);
    return update(change, before);
}

bool RecordReplica::isKept(const StoreRecord &record) const
{
    return reader_->isIntentKey(record.key) || reader_->isSharedKey(record.key);
}

RecordReplica::Change RecordReplica::merge(const std::vector<StoreRecord> &changes)
{
    Change change = Change::None;
    for (const StoreRecord &record : changes) {
        if (!isKept(record) || !table_.merge(record))
            continue;
        const bool isIntent = reader_->isIntentKey(record.key);
        change = std::max(change, isIntent ? Change::Intent : Change::SharedOnly);
    }
    return change;
}

// The peer may use a record that this node's table has not, or no longer.
RecordReplica::Change RecordReplica::mergeFromPeer(const std::vector<StoreRecord> &changes,
                                                   const std::vector<StoreRecord> &retained)
{
    const Change change = merge(changes);
    bool isAdopted = false;
    for (const auto *records : {&changes, &retained}) {
        for (const StoreRecord &record : *records) {
            const bool isInTable = table_.find(record.key) != nullptr
                                   && table_.find(record.key)->revision == record.revision;
            isAdopted = (!isInTable && reader_->adopt(record)) || isAdopted;
        }
    }
    return isAdopted ? Change::Intent : change;
}

// A change of shared records leaves the document as it is: some change every few seconds, and
// rebuilding a large document takes milliseconds.
OfferResult RecordReplica::update(Change change, Revision before)
{
    if (change != Change::None) {
        cachedTransfer_ = IntentTransfer{};
        if (observer_ != nullptr)
            observer_->recordsChanged(table_);
    }
    if (change != Change::Intent)
        return revision() > before ? OfferResult::Confirmed : OfferResult::NotNewer;
    core::findings::FindingList findings("records at revision "
                                         + std::to_string(revision().number()));
    document_ = reader_->read(table_, findings);
    if (findings.isEmpty())
        return OfferResult::Accepted;
    refusedRevision_ = table_.revision();
    refusal_ = findings.toString();
    return OfferResult::PartlyAccepted;
}

Revision RecordReplica::revision() const
{
    return reader_->isComplete(table_) ? table_.revision() : Revision{};
}

Revision RecordReplica::contentRevision() const
{
    Revision last;
    for (const auto &[key, record] : table_.records()) {
        if (reader_->isIntentKey(key))
            last = std::max(last, record.revision);
    }
    return last;
}

// A node whose revision precedes the known removals may hold records that this node has never
// known; it receives all records and removes the others.
IntentTransfer RecordReplica::transferSince(Revision have) const
{
    const Revision base = have < table_.removalsKnownSince() ? Revision{} : have;
    if (!cachedTransfer_.payload.empty() && cachedTransfer_.target == revision()
        && cachedTransfer_.base == base)
        return cachedTransfer_;
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer(text);
    writer.StartObject();
    writer.Key("through");
    writer.Uint64(table_.revision().number());
    writer.Key("whole");
    writer.Bool(base == Revision{});
    writeRecords(recordsName, table_.changesSince(base), writer);
    if (base == Revision{})
        writeRecords(retainedName, reader_->retained(), writer);
    writer.EndObject();
    IntentTransfer transfer{revision(), base, 0, std::string(text.GetString(), text.GetSize())};
    transfer.textHash = core::hashing::stableHash(transfer.payload);
    cachedTransfer_ = transfer;
    return transfer;
}

std::optional<std::string> RecordReplica::unpack(const IntentTransfer &transfer) const
{
    // The transfer leaves out records up to its base, so this node must hold that revision.
    if (transfer.base > table_.revision()
        || core::hashing::stableHash(transfer.payload) != transfer.textHash)
        return std::nullopt;
    return transfer.payload;
}

} // namespace boragetrack::control::distribution
