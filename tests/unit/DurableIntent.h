/** A node's intent from a durable store, for tests of when it is in force. */
#pragma once

#include "control/distribution/IntentPropagator.h"
#include "control/distribution/RecordReplica.h"

#include <utility>

namespace boragetrack::tests {

/** Owns a propagator and its replica, and records what the propagator decides and fetches. */
class DurableIntent : private control::distribution::PeerTransport,
                      private control::distribution::IntentPropagator::Listener
{
public:
    using Contact = control::distribution::PeerContact;
    using Propagator = control::distribution::IntentPropagator;
    using Replica = control::distribution::RecordReplica;
    using Revision = core::identity::Revision;

    explicit DurableIntent(std::unique_ptr<control::records::RecordReader> reader)
        : propagator_(
                *this, *this, [] { return std::vector<Contact>{}; }, makeReplica(std::move(reader)))
    {
        propagator_.setStoreReachable(true);
        propagator_.start(now_);
    }

    Propagator &propagator() { return propagator_; }
    Replica &replica() { return *replica_; }
    core::timing::MonotonicTime now() const { return now_; }
    /** Returns how often an intent was put in force. */
    int timesInForce() const { return timesInForce_; }
    /** Returns the revisions since which records were fetched. */
    std::vector<Revision> takeFetches() { return std::exchange(fetches_, {}); }

    /** Merges changes of the store. */
    void apply(std::vector<control::records::StoreRecord> changes, std::uint64_t revision)
    {
        propagator_.recordDurableUpdate(
                replica_->applyChanges({std::move(changes), Revision(revision)}), now_);
    }

    void advance(std::chrono::milliseconds step)
    {
        now_ += step;
        propagator_.tick(now_);
    }

private:
    void sendExchange(const Contact & /*peer*/,
                      const control::distribution::Exchange & /*exchange*/) override
    {}
    void pushIntent(const Contact & /*peer*/,
                    const control::distribution::IntentTransfer & /*transfer*/) override
    {}
    void fetchIntent(const Contact & /*peer*/, Revision have) override { fetches_.push_back(have); }
    void fetchMembers(const Contact & /*peer*/,
                      const control::membership::MemberTable::BucketHashes & /*hashes*/) override
    {}
    void intentInForce() override { ++timesInForce_; }
    void intentRefused() override {}

    std::unique_ptr<Replica> makeReplica(std::unique_ptr<control::records::RecordReader> reader)
    {
        auto replica = std::make_unique<Replica>(std::move(reader));
        replica_ = replica.get();
        return replica;
    }

    core::timing::MonotonicTime now_{std::chrono::hours(1)};
    int timesInForce_ = 0;
    std::vector<Revision> fetches_;
    // Owned by the propagator.
    Replica *replica_ = nullptr;
    Propagator propagator_;
};

} // namespace boragetrack::tests
