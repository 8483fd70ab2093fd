/** A node for tests of the copies of the store's records. */
#pragma once

#include "AllKeysReader.h"
#include "RecordHistory.h"
#include "control/distribution/IntentPropagator.h"
#include "control/distribution/RecordReplica.h"

#include <optional>
#include <utility>

namespace boragetrack::tests {

/** Owns a propagator and its replica, a listing and a watch in progress, and the fetches that the
    propagator has sent. Its copy starts empty. */
class ReplicaNode : private control::distribution::PeerTransport,
                    private control::distribution::IntentPropagator::Listener
{
public:
    using Contact = control::distribution::PeerContact;
    using Revision = core::identity::Revision;

    struct Fetch
    {
        Contact peer;
        Revision have;
    };

    ReplicaNode() { propagator_.setStoreReachable(false); }

    const control::records::RecordTable &table() const { return replica_->table(); }
    control::distribution::RecordReplica &replica() { return *replica_; }
    control::distribution::IntentPropagator &propagator() { return propagator_; }

    /** Reads one page of a listing; merges the listing after its last page. */
    void listPage(const RecordHistory &store, std::size_t pageSize, core::timing::MonotonicTime now)
    {
        const auto page
                = store.pageAfter(listed_.empty() ? std::string() : listed_.back().key, pageSize);
        if (listed_.empty())
            listingRevision_ = page.revision;
        listed_.insert(listed_.end(), page.records.begin(), page.records.end());
        if (page.isTruncated)
            return;
        propagator_.recordDurableUpdate(replica_->applyListing(listed_, listingRevision_), now);
        listed_.clear();
    }

    /** Gives up a listing whose next page failed. */
    void abandonListing() { listed_.clear(); }

    /** Sends a watch after the copy's revision, as StoreFollower::setActive does. */
    void startWatch() { watchedAfter_ = table().revision(); }

    /** The store responds to the watch; the response is still on its way. */
    void answerWatch(const RecordHistory &store)
    {
        if (watchedAfter_)
            response_ = store.changesAfter(*watchedAfter_);
        watchedAfter_.reset();
    }

    void receiveWatch(core::timing::MonotonicTime now)
    {
        if (response_)
            propagator_.recordDurableUpdate(replica_->applyChanges(*response_), now);
        response_.reset();
    }

    std::vector<Fetch> takeFetches() { return std::exchange(fetches_, {}); }

private:
    void sendExchange(const Contact & /*peer*/,
                      const control::distribution::Exchange & /*exchange*/) override
    {}
    void pushIntent(const Contact & /*peer*/,
                    const control::distribution::IntentTransfer & /*transfer*/) override
    {}
    void fetchIntent(const Contact &peer, Revision have) override
    {
        fetches_.push_back({peer, have});
    }
    void fetchMembers(const Contact & /*peer*/,
                      const control::membership::MemberTable::BucketHashes & /*hashes*/) override
    {}
    void intentInForce() override {}
    void intentRefused() override {}

    std::unique_ptr<control::distribution::RecordReplica> makeReplica()
    {
        auto replica = std::make_unique<control::distribution::RecordReplica>(
                std::make_unique<AllKeysReader>());
        replica_ = replica.get();
        return replica;
    }

    control::distribution::RecordReplica *replica_ = nullptr;
    control::distribution::IntentPropagator propagator_{
            *this, *this, [] { return std::vector<Contact>{}; }, makeReplica()};
    std::vector<control::records::StoreRecord> listed_;
    Revision listingRevision_;
    std::optional<Revision> watchedAfter_;
    std::optional<control::records::RecordChanges> response_;
    std::vector<Fetch> fetches_;
};

} // namespace boragetrack::tests
