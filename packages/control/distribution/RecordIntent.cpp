/** Implements RecordIntent. */
#include "control/distribution/RecordIntent.h"

#include "core/hashing/StableHash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace boragetrack::control::distribution {

using core::identity::Revision;
using nlohmann::json;
using records::OperatorRecord;

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
    const json root = json::parse(text, nullptr, false);
    if (!root.is_object() || !root.contains("records"))
        return OfferResult::Refused;
    const Revision before = revision();
    std::vector<OperatorRecord> changes;
    for (const json &entry : root["records"]) {
        changes.push_back(OperatorRecord{entry.value("key", ""),
                                         Revision(entry.value("revision", std::uint64_t{0})),
                                         entry.value("text", ""), entry.value("removed", false)});
    }
    const bool hasNews = merge(changes);
    table_.completeThrough(Revision(root.value("through", std::uint64_t{0})));
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
    json root{{"through", table_.revision().number()}, {"records", json::array()}};
    for (const OperatorRecord &record : table_.changesSince(have)) {
        json entry{{"key", record.key}, {"revision", record.revision.number()}};
        if (record.isRemoved)
            entry["removed"] = true;
        else
            entry["text"] = record.text;
        root["records"].push_back(std::move(entry));
    }
    IntentTransfer transfer{revision(), have, 0,
                            root.dump(-1, ' ', false, json::error_handler_t::replace)};
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
