/** The intent as entries of the platform's store. */
#pragma once

#include "control/distribution/IntentReplica.h"
#include "control/records/RecordChanges.h"
#include "control/records/RecordReader.h"

#include <memory>

namespace boragetrack::control::distribution {

/** Keeps the store's entries and the document that they make; peers get the entries that they
    lack. */
class RecordReplica : public IntentReplica
{
public:
    explicit RecordReplica(std::unique_ptr<records::RecordReader> reader)
        : reader_(std::move(reader))
    {}

    /** Takes all entries of the store as of a revision. */
    OfferResult applyListing(const std::vector<records::StoreRecord> &listed,
                             core::identity::Revision revision);

    /** Takes changes from the store. */
    OfferResult applyChanges(const records::RecordChanges &changes);

    /** Returns the entries. */
    const records::RecordTable &table() const { return table_; }

    OfferResult offer(const std::string &text) override;
    core::identity::Revision revision() const override;
    core::identity::Revision contentRevision() const override { return table_.lastChange(); }
    const intent::IntentDocument &document() const override { return document_; }
    core::identity::Revision refusedRevision() const override { return refusedRevision_; }
    const std::string &refusal() const override { return refusal_; }
    IntentTransfer transferSince(core::identity::Revision have) const override;
    std::optional<std::string> unpack(const IntentTransfer &transfer) const override;

private:
    bool merge(const std::vector<records::StoreRecord> &changes);
    OfferResult rebuildDocument(bool hasChanges, core::identity::Revision before);

    std::unique_ptr<records::RecordReader> reader_;
    records::RecordTable table_;
    intent::IntentDocument document_;
    core::identity::Revision refusedRevision_;
    std::string refusal_;
    // The last transfer that was made: several peers mostly lack the same changes.
    mutable IntentTransfer cachedTransfer_;
};

} // namespace boragetrack::control::distribution
