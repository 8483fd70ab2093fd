/** The intent as a set of records of the platform's store, each with its own revision. */
#pragma once

#include "control/distribution/IntentReplica.h"
#include "control/records/RecordChanges.h"
#include "control/records/RecordObserver.h"
#include "control/records/RecordReader.h"

#include <memory>

namespace boragetrack::control::distribution {

/** Holds the records that concern the intent, the document built from them, and the other records
    that all nodes share. Peers receive only the records that they lack. */
class RecordReplica : public IntentReplica
{
public:
    /** @param observer outlives the replica; null for none */
    explicit RecordReplica(std::unique_ptr<records::RecordReader> reader,
                           records::RecordObserver *observer = nullptr)
        : reader_(std::move(reader))
        , observer_(observer)
    {}

    /** Merges a complete listing of the store.
        @param revision the revision that the listing reflects */
    OfferResult applyListing(const std::vector<records::StoreRecord> &listed,
                             core::identity::Revision revision);

    /** Merges changes from a watch of the store. */
    OfferResult applyChanges(const records::RecordChanges &changes);

    /** Returns the records. */
    const records::RecordTable &table() const { return table_; }

    OfferResult offer(const std::string &text) override;
    core::identity::Revision revision() const override;
    core::identity::Revision contentRevision() const override;
    const intent::IntentDocument &document() const override { return document_; }
    core::identity::Revision refusedRevision() const override { return refusedRevision_; }
    const std::string &refusal() const override { return refusal_; }
    IntentTransfer transferSince(core::identity::Revision have) const override;
    std::optional<std::string> unpack(const IntentTransfer &transfer) const override;

private:
    // What a merge changed in the table.
    enum class Change { None, SharedOnly, Intent };

    bool isKept(const records::StoreRecord &record) const;
    Change merge(const std::vector<records::StoreRecord> &changes);
    Change mergeFromPeer(const std::vector<records::StoreRecord> &changes,
                         const std::vector<records::StoreRecord> &retained);
    OfferResult update(Change change, core::identity::Revision before);

    std::unique_ptr<records::RecordReader> reader_;
    records::RecordObserver *observer_;
    records::RecordTable table_;
    intent::IntentDocument document_;
    core::identity::Revision refusedRevision_;
    std::string refusal_;
    // The last transfer; peers mostly lack the same changes.
    mutable IntentTransfer cachedTransfer_;
};

} // namespace boragetrack::control::distribution
